"""Workspaces declared by operators, with their priority and rate limit."""

from __future__ import annotations

from cedarchute.record import Record


class Workspace(Record):
    """A customer, whose calls are identified by the keys that they carry.

    Attributes
    ----------
    rank : int
        Priority of its calls; 0 is the highest. Takes precedence over a route's rank.
    calls_per_second, burst : float
        Long-term rate across all boxes, and the calls at once beyond it; a rate of 0
        means no limit.
    """

    name: str
    rank: int = 0
    calls_per_second: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether its calls are rate limited."""
        return self.calls_per_second > 0
