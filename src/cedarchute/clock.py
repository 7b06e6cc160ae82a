"""Clocks as a protocol, so that tests decide what time it is."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of wall and monotonic time, both in seconds."""

    def wall(self) -> float:
        """Return seconds since 1970."""
        ...

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""
        ...


class SystemClock:
    """The clock of the machine."""

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""
        return time.monotonic()
