"""First events and pauses of the streams at one target, the newest counting most."""

from __future__ import annotations

import math

import msgspec

from cedarchute.decisions.baseline_latency import PaceSums
from cedarchute.record import MutableRecord


class RecentPace(MutableRecord):
    """Sums whose older parts count less and less.

    Attributes
    ----------
    memory_seconds : float
        What was seen this long ago counts a third.
    at : float
        When the sums were aged last, in seconds of a steady clock.
    """

    memory_seconds: float
    at: float
    sums: PaceSums = msgspec.field(default_factory=PaceSums)

    def age(self, now: float) -> PaceSums:
        """Give what was seen before `now` its weight; return the sums."""
        passed = max(0.0, now - self.at)
        self.sums.scale(math.exp(-passed / self.memory_seconds))
        self.at = now
        return self.sums
