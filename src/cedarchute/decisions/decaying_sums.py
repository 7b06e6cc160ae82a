"""Exponentially decaying sums of the latencies of one target."""

from __future__ import annotations

import math

import msgspec

from cedarchute.decisions.usual_pace import LatencySums
from cedarchute.record import MutableRecord


class DecayingSums(MutableRecord):
    """Latency sums with exponential decay.

    Attributes
    ----------
    memory_seconds : float
        Time constant of the decay: samples of this age weigh 1/e.
    at : float
        Monotonic time of the last decay, in seconds.
    """

    memory_seconds: float
    at: float
    sums: LatencySums = msgspec.field(default_factory=LatencySums)

    def decay(self, now: float) -> LatencySums:
        """Decay the sums to `now` and return them."""
        passed = max(0.0, now - self.at)
        self.sums.scale(math.exp(-passed / self.memory_seconds))
        self.at = now
        return self.sums
