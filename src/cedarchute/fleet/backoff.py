"""How long to wait before asking again something that does not answer."""

from __future__ import annotations

from typing import Final

# The first wait after a failure: long enough for an answer that was lost on the way.
FIRST_SECONDS: Final = 0.5
FACTOR: Final = 2.0


class Backoff:
    """Waits twice as long after each failure in a row, up to `longest_seconds`."""

    def __init__(self, longest_seconds: float) -> None:
        self.longest_seconds = longest_seconds
        self.seconds = FIRST_SECONDS

    def next_seconds(self) -> float:
        """Return how long to wait after one more failure."""
        seconds = self.seconds
        self.seconds = min(self.longest_seconds, seconds * FACTOR)
        return seconds

    def reset(self) -> None:
        """Take in an answer: the next failure is the first one again."""
        self.seconds = FIRST_SECONDS
