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
# Until an exit that Python has dropped is raised again, outside of the callback.
RAISE_AGAIN_SECONDS: Final = 0.01


def exit_on_signals() -> None:
    """Leave by `SystemExit` on the first of `SIGNALS`, so that clean-up runs."""
    for number in SIGNALS:
        signal.signal(number, _exit)
    sys.unraisablehook = _raise_again


def _exit(number: int, frame: FrameType | None) -> None:
    del frame
    # A second signal would interrupt the clean-up.
    for other in SIGNALS:
        signal.signal(other, signal.SIG_IGN)
    sys.exit(SIGNALLED + number)


def _raise_again(dropped: sys.UnraisableHookArgs) -> None:
    """Raise an exit again that a weak reference callback or a finalizer has lost."""
    if not isinstance(dropped.exc_value, SystemExit):
        sys.__unraisablehook__(dropped)
        return
    status = dropped.exc_value.code
    signal.signal(signal.SIGALRM, lambda *_: sys.exit(status))
    signal.setitimer(signal.ITIMER_REAL, RAISE_AGAIN_SECONDS)
