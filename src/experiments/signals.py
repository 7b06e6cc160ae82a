"""Ends an experiment by signals in the way that ends its processes too."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from types import FrameType

# Exit status of a shell for a program that a signal ended.
SIGNALLED: Final = 128
SIGNALS: Final = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def exit_on_signals() -> None:
    """Leave by `SystemExit` on the first of `SIGNALS`, so that clean-up runs."""
    for number in SIGNALS:
        signal.signal(number, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    del frame
    # A second signal would interrupt the clean-up.
    for other in SIGNALS:
        signal.signal(other, signal.SIG_IGN)
    sys.exit(SIGNALLED + number)
