"""What was done to boxes, targets and the store, and when."""

from __future__ import annotations

import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

# The required bound: who was left alone for this long is in touch.
CONTACT_SECONDS: Final = 3.0
# Of what is done to the store, or to all boxes at once.
EVERYTHING: Final = ""
# The required bound on a planned stop, and one second behind it that is judged as well.
STOP_SECONDS: Final = 9.0
NEVER: Final = float("inf")


@dataclass
class Touch:
    """Something done to a box or target, planned or not; times are monotonic."""

    name: str
    began: float
    ended: float


class Contact:
    """Tells which boxes and targets were in touch at a given time.

    Attributes
    ----------
    stops : list of Touch
        The planned stops, each a moment.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.touches: list[Touch] = []
        self.stops: list[Touch] = []

    @contextmanager
    def touched(self, name: str) -> Iterator[None]:
        """Record that something lasts until the block is left."""
        touch = Touch(name, time.monotonic(), NEVER)
        with self.lock:
            self.touches.append(touch)
        try:
            yield
        finally:
            touch.ended = time.monotonic()

    def note_start(self, name: str) -> None:
        """Record that the process of a box was started."""
        self.add_moment(self.touches, name)

    def note_stop(self, name: str) -> None:
        """Record that a box was asked to stop."""
        self.add_moment(self.touches, name)
        self.add_moment(self.stops, name)

    def add_moment(self, touches: list[Touch], name: str) -> None:
        """Add what is done at this moment."""
        now = time.monotonic()
        with self.lock:
            touches.append(Touch(name, now, now))

    def was_in_touch(self, name: str, first: float, last: float | None = None) -> bool:
        """Whether nothing was done to a box or target, nor to everything.

        Parameters
        ----------
        first, last : float
            From `CONTACT_SECONDS` before `first` until `last`, by default `first`.
        """
        began, ended = first - CONTACT_SECONDS, first if last is None else last
        return not any(
            touch.name in (name, EVERYTHING)
            and touch.began <= ended
            and touch.ended >= began
            for touch in list(self.touches)
        )

    def was_stopping(self, name: str, at: float) -> bool:
        """Whether a box was in a planned stop."""
        return any(
            stop.name == name and at - STOP_SECONDS <= stop.began <= at
            for stop in list(self.stops)
        )
