"""How old a box lets its knowledge of the store become, and whom it asks then.

Answers a change that is made just after the way by which a box hears of changes fell
silent: a watch whose answer was lost, a reader that is cut off from the store and does
not know it yet. Neither says anything, so what bounds the age of a box's knowledge is
its own clock. The boxes of a failure domain ask in turn by their rank, other boxes come
before the store, and so the calls to the store grow with the failure domains.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

# Parts of the time within which a change has to be known, all from the last moment for
# which somebody asked the store. What is left at the end is for one answer of the store
# and for a loop that wakes late: with 2 s, the last box asks at 1.7 s.
READER_SHARE: Final = 0.4
# A proof of the first reader has come round by then.
SECOND_READER_SHARE: Final = 0.5
BOXES_SHARE: Final = 0.55
STORE_SHARE: Final = 0.75
# Boxes that lost the same reader do not all ask at once.
SPREAD_SHARE: Final = 0.1
# How long another box may take to answer: two are asked before the store is.
ANSWER_SHARE: Final = 0.1
# Between two tries, and between two looks at what is due.
PAUSE_SHARE: Final = 0.05


class ReaderRank(Enum):
    """Which part a box has among those of its failure domain."""

    FIRST = "first"
    SECOND = "second"
    LISTENER = "listener"


class RefreshStep(Enum):
    """What a box does about the age of its knowledge."""

    NOTHING = "nothing"
    ASK_A_BOX = "ask a box"
    ASK_THE_STORE = "ask the store"


class StalenessLimits:
    """The ages at which a box of each rank asks.

    Parameters
    ----------
    known_seconds : float
        Within which a change has to be known at every box that reaches the store.
    chance : random.Random
        Draws by how much this box asks later than the first listener.
    """

    def __init__(self, known_seconds: float, chance: random.Random) -> None:
        spread = chance.uniform(0, SPREAD_SHARE)
        self.reader_seconds = READER_SHARE * known_seconds
        self.second_reader_seconds = SECOND_READER_SHARE * known_seconds
        self.boxes_seconds = (BOXES_SHARE + spread) * known_seconds
        self.store_seconds = (STORE_SHARE + spread) * known_seconds
        self.answer_seconds = ANSWER_SHARE * known_seconds
        self.pause_seconds = PAUSE_SHARE * known_seconds

    def find_refresh_age(self, rank: ReaderRank) -> float:
        """Return the age at which a box of that rank first asks anybody."""
        if rank is ReaderRank.FIRST:
            return self.reader_seconds
        if rank is ReaderRank.SECOND:
            return self.second_reader_seconds
        return self.boxes_seconds

    def choose_refresh(self, rank: ReaderRank, age_seconds: float) -> RefreshStep:
        """Return what a box of that rank does with knowledge of that age."""
        if age_seconds < self.find_refresh_age(rank):
            return RefreshStep.NOTHING
        if rank is ReaderRank.LISTENER and age_seconds < self.store_seconds:
            return RefreshStep.ASK_A_BOX
        return RefreshStep.ASK_THE_STORE
