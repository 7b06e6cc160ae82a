"""How stale a box lets its view of the store become, and whom it queries then.

A watch whose response was lost, or a reader that is partitioned from the store, looks
like a store without changes, so a box bounds staleness by its own clock. The boxes of a
failure domain query in the order of their rank, and other boxes before the store, so
that the load on the store grows with the number of failure domains.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

# Fractions of the time within which a change has to be known, counted from the last
# confirmed read of the store. The last box queries early enough for one response and
# for an event loop that wakes up late: with 2 s, at 1.7 s.
FIRST_READER_FRACTION: Final = 0.4
# Leaves the first reader time to pass on what it read.
SECOND_READER_FRACTION: Final = 0.5
BOXES_FRACTION: Final = 0.55
STORE_FRACTION: Final = 0.75
# A call that would be sent by an older view waits for the store first. Later than any
# box queries the store, so that only a box that was held up has calls wait.
SEND_FRACTION: Final = 0.9
# Jitter, so that boxes that lost the same reader don't all query at once.
JITTER_FRACTION: Final = 0.1
# Timeout of a query to another box; two fit in before the store is queried.
TIMEOUT_FRACTION: Final = 0.1
# Interval between retries and between checks of the age.
POLL_FRACTION: Final = 0.05


class ReaderRank(Enum):
    """The rank of a box among the readers of its failure domain."""

    FIRST = "first"
    SECOND = "second"
    LISTENER = "listener"


class RefreshStep(Enum):
    """How a box refreshes its view."""

    NOTHING = "nothing"
    ASK_A_BOX = "ask a box"
    ASK_THE_STORE = "ask the store"


class StalenessLimits:
    """The ages at which a box of each rank refreshes its view of the store.

    Parameters
    ----------
    known_seconds : float
        Time within which a change has to be known at every box that reaches the store.
    random_source : random.Random
        Source of this box's jitter.
    """

    def __init__(self, known_seconds: float, random_source: random.Random) -> None:
        jitter = random_source.uniform(0, JITTER_FRACTION)
        self.first_reader_seconds = FIRST_READER_FRACTION * known_seconds
        self.second_reader_seconds = SECOND_READER_FRACTION * known_seconds
        self.boxes_seconds = (BOXES_FRACTION + jitter) * known_seconds
        self.store_seconds = (STORE_FRACTION + jitter) * known_seconds
        self.send_seconds = SEND_FRACTION * known_seconds
        self.answer_seconds = TIMEOUT_FRACTION * known_seconds
        self.pause_seconds = POLL_FRACTION * known_seconds

    def find_refresh_age(self, rank: ReaderRank) -> float:
        """Return the age at which a box of that rank sends its first query."""
        if rank is ReaderRank.FIRST:
            return self.first_reader_seconds
        if rank is ReaderRank.SECOND:
            return self.second_reader_seconds
        return self.boxes_seconds

    def choose_refresh(self, rank: ReaderRank, age_seconds: float) -> RefreshStep:
        """Return how a box of that rank refreshes a view of that age."""
        if age_seconds < self.find_refresh_age(rank):
            return RefreshStep.NOTHING
        if rank is ReaderRank.LISTENER and age_seconds < self.store_seconds:
            return RefreshStep.ASK_A_BOX
        return RefreshStep.ASK_THE_STORE
