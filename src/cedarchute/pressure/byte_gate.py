"""Lets large amounts pass one after the other, as many at once as there is room for."""

from __future__ import annotations

from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from eventlet.event import Event

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarchute.metrics import Metrics

# What is not worth a wait.
SMALL_AMOUNT_BYTES: Final = 65_536


class ByteGate:
    """Delays work that can't be refused any more, such as the storing of a turn.

    Answers the load of many large turns that end at once: their copies for holders take
    several times their bytes. One amount always passes, however large.

    Parameters
    ----------
    max_bytes : int
        What may pass at once.

    Attributes
    ----------
    passing : int
        Bytes that pass now.
    waiting : deque of Event
        Those that wait, in the order in which they came.
    """

    def __init__(self, max_bytes: int, metrics: Metrics) -> None:
        self.max_bytes = max_bytes
        self.metrics = metrics
        self.passing = 0
        self.waiting: deque[Event] = deque()

    @contextmanager
    def admitting(self, count: int) -> Iterator[None]:
        """Wait until `count` bytes may pass, and count them while the block runs."""
        if count > SMALL_AMOUNT_BYTES:
            self.wait(count)
        self.passing += count
        try:
            yield
        finally:
            self.passing -= count
            self.wake_next()

    def wait(self, count: int) -> None:
        """Wait behind those that came before until `count` bytes fit."""
        if not self.waiting and self.fits(count):
            return
        self.metrics.count("held.turns_delayed")
        woken = Event()
        self.waiting.append(woken)
        try:
            while self.waiting[0] is not woken or not self.fits(count):
                woken.wait()
                woken.reset()
        finally:
            self.waiting.remove(woken)
            self.wake_next()

    def fits(self, count: int) -> bool:
        """Return whether `count` bytes may pass beside those that do."""
        return not self.passing or self.passing + count <= self.max_bytes

    def wake_next(self) -> None:
        """Have the one that waits longest look again."""
        if self.waiting and not self.waiting[0].ready():
            self.waiting[0].send()
