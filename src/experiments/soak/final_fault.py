"""The fault that comes last in a run, right after something was confirmed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# After a configuration was sent, and until killed processes are started again.
LEAST_DELAY_SECONDS: Final = 0.005
MOST_DELAY_SECONDS: Final = 0.4
MOST_DOWN_SECONDS: Final = 1.0


class Trigger(StrEnum):
    """What the fault comes right behind."""

    CONFIRMED = "configuration confirmed"
    SENT = "configuration sent"
    ANSWERED = "turn answered"


class Loss(StrEnum):
    """What is lost: processes, and the disk of as many holders as the site bears."""

    KILL_ALL = "all killed"
    WIPE = "disk lost"
    WIPE_AND_KILL_HOLDERS = "disk lost and holders killed"
    WIPE_AND_KILL_ALL = "disk lost and all killed"


@dataclass(frozen=True)
class FinalFault:
    """A loss right after a trigger.

    Attributes
    ----------
    delay_seconds : float
        From the sending of a configuration, if that is the trigger.
    down_seconds : float
        How long the processes stay away.
    pick : float
        From 0 to 1: which of the holders loses its disk.
    """

    trigger: Trigger
    loss: Loss
    delay_seconds: float
    down_seconds: float
    pick: float

    @property
    def takes_disk(self) -> bool:
        """Whether a disk is lost."""
        return self.loss is not Loss.KILL_ALL


def draw_final_fault(seed: int) -> FinalFault:
    """Return the last fault of a run."""
    chance = random.Random(f"{seed} final")
    return FinalFault(
        chance.choice(list(Trigger)),
        chance.choice(list(Loss)),
        chance.uniform(LEAST_DELAY_SECONDS, MOST_DELAY_SECONDS),
        chance.uniform(0.0, MOST_DOWN_SECONDS),
        chance.random(),
    )
