"""A workspace that operators declared: how important it is, and how much it may ask."""

from __future__ import annotations

from cedarchute.record import Record


class Workspace(Record):
    """One customer's calls, told apart by the keys that they carry.

    Attributes
    ----------
    rank : int
        Importance of its calls; 0 goes first, and it goes before a route's rank.
    calls_per_second, burst : float
        Calls that all boxes together let through in the long run, and how many beyond
        that at once; without a rate there is no limit.
    """

    name: str
    rank: int = 0
    calls_per_second: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether its calls are counted."""
        return self.calls_per_second > 0
