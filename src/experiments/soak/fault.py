"""One fault, and the faults of a run as its seed draws them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Final


class FaultKind(StrEnum):
    """What happens to a process, a link or the store."""

    KILL = "kill"
    PAUSE = "pause"
    PLANNED_STOP = "planned_stop"
    KILL_ALL = "kill_all"
    WIPE = "wipe"
    STORE_DOWN = "store_down"
    STORE_PAUSE = "store_pause"
    STORE_LINK = "store_link"
    TARGET_LINK = "target_link"
    CALLER_LINK = "caller_link"
    RESET_LINKS = "reset_links"
    CONFIGURE = "configure"


# How often each kind is drawn, of the sum; a lost disk comes at most once in a run,
# since the site bears the loss of one at a time.
WEIGHTS: Final = {
    FaultKind.KILL: 4,
    FaultKind.PAUSE: 4,
    FaultKind.PLANNED_STOP: 2,
    FaultKind.KILL_ALL: 1,
    FaultKind.WIPE: 1,
    FaultKind.STORE_DOWN: 2,
    FaultKind.STORE_PAUSE: 1,
    FaultKind.STORE_LINK: 3,
    FaultKind.TARGET_LINK: 4,
    FaultKind.CALLER_LINK: 3,
    FaultKind.RESET_LINKS: 3,
    FaultKind.CONFIGURE: 3,
}
LEAST_SECONDS: Final = 0.2
MOST_SECONDS: Final = 3.0
# Faults a second: a fault lasts 1.6 s on average, so that about one is under way.
RATE: Final = 0.6


@dataclass(frozen=True)
class Fault:
    """What happens when, for how long, and to which of those it may happen to.

    Attributes
    ----------
    at, seconds : float
        Seconds from the start of the faults, and of its duration.
    pick : float
        From 0 to 1: which of the processes or links, and in which manner.
    """

    kind: FaultKind
    at: float
    seconds: float
    pick: float


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run, in order of time."""
    chance = random.Random(seed)
    faults: list[Fault] = []
    weights = dict(WEIGHTS)
    for _ in range(max(1, round(RATE * seconds))):
        kind = chance.choices(list(weights), list(weights.values()))[0]
        if kind is FaultKind.WIPE:
            del weights[kind]
        at = chance.uniform(0.0, seconds)
        duration = chance.uniform(LEAST_SECONDS, MOST_SECONDS)
        faults.append(Fault(kind, at, duration, chance.random()))
    return sorted(faults, key=lambda fault: fault.at)
