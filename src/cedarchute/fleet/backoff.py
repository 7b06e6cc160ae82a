"""Exponential backoff between retries."""

from __future__ import annotations

from typing import Final

# Delay after the first failure; covers an answer that was lost on the way.
INITIAL_SECONDS: Final = 0.5
FACTOR: Final = 2.0


class Backoff:
    """Doubles the delay after each consecutive failure, up to `longest_seconds`."""

    def __init__(self, max_seconds: float) -> None:
        self.max_seconds = max_seconds
        self.seconds = INITIAL_SECONDS

    def next_seconds(self) -> float:
        """Return the delay after another failure."""
        seconds = self.seconds
        self.seconds = min(self.max_seconds, seconds * FACTOR)
        return seconds

    def reset(self) -> None:
        """Reset the delay after a success."""
        self.seconds = INITIAL_SECONDS
