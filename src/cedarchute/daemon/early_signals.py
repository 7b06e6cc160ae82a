"""Records signals from the first moment of a process on.

By default SIGHUP and SIGTERM end a process at once, also one whose listener has
connections of callers in its queue already.
"""

from __future__ import annotations

import signal
import time
from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from types import FrameType

RECORDED_SIGNALS: Final = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


class ArrivedSignal(NamedTuple):
    """A signal that was delivered, and when."""

    number: int
    at_seconds: float


class EarlySignals:
    """Keeps signals in their order until `Signals` handles them.

    Attributes
    ----------
    arrived : deque of ArrivedSignal
        Signals that nobody has handled yet.
    """

    def __init__(self) -> None:
        self.arrived: deque[ArrivedSignal] = deque()

    def install(self) -> None:
        """Record signals from now on, in place of their default action."""
        for number in RECORDED_SIGNALS:
            signal.signal(number, self.record)

    def ignore(self) -> None:
        """Ignore signals from now on: everything is done."""
        for number in RECORDED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def record(self, number: int, frame: FrameType | None) -> None:
        """Keep one signal; runs between any two instructions and never raises."""
        del frame
        self.arrived.append(ArrivedSignal(number, time.monotonic()))


EARLY_SIGNALS: Final = EarlySignals()
