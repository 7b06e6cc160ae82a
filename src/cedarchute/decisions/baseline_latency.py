"""What engines of a service take for a first event and a pause when they are calm."""

from __future__ import annotations

from typing import Final

from cedarchute.record import MutableRecord

# The least of many rough means lies far below what is usual: with smaller windows, calm
# engines look slow as soon as prompts are long.
WINDOW_FIRST_EVENTS: Final = 24
WINDOW_PAUSES: Final = 120
# What is believed rises by this share a second: a lasting change of the engines is
# learnt within minutes, and an overload of half a minute is not taken for usual.
RISE_PER_SECOND: Final = 0.003
# Shorter times are those of the way and of the box itself, not of an engine: a token
# takes some milliseconds and an event carries several.
LEAST_FIRST_SECONDS: Final = 0.02
LEAST_PAUSE_SECONDS: Final = 0.01


class PaceSums(MutableRecord):
    """First events and pauses between events: how many, and seconds in all."""

    firsts: float = 0.0
    first_seconds: float = 0.0
    pauses: float = 0.0
    pause_seconds: float = 0.0

    def scale(self, factor: float) -> None:
        """Give everything counted so far less weight."""
        self.firsts *= factor
        self.first_seconds *= factor
        self.pauses *= factor
        self.pause_seconds *= factor


class BaselineLatency:
    """The least mean of any window of samples, rising slowly.

    Attributes
    ----------
    first_seconds, pause_seconds : float or None
        None until a window is full.
    """

    def __init__(self) -> None:
        self.window = PaceSums()
        self.first_seconds: float | None = None
        self.pause_seconds: float | None = None
        self.window_at = 0.0

    @property
    def is_known(self) -> bool:
        """Whether a window was full yet."""
        return self.first_seconds is not None and self.pause_seconds is not None

    def take_in(self, now: float) -> None:
        """Believe the window, once it is full, and begin another."""
        window = self.window
        if window.firsts < WINDOW_FIRST_EVENTS or window.pauses < WINDOW_PAUSES:
            return
        first = max(LEAST_FIRST_SECONDS, window.first_seconds / window.firsts)
        pause = max(LEAST_PAUSE_SECONDS, window.pause_seconds / window.pauses)
        rise = 1.0 + RISE_PER_SECOND * (now - self.window_at)
        self.first_seconds = min_known(self.first_seconds, rise, first)
        self.pause_seconds = min_known(self.pause_seconds, rise, pause)
        self.window = PaceSums()
        self.window_at = now


def min_known(known: float | None, rise: float, seen: float) -> float:
    """Return the lesser of what was seen and what was known, risen a little."""
    return seen if known is None else min(known * rise, seen)
