"""The steps of a play in which machines come, go and lose their disks."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Final


class TurnoverKind(StrEnum):
    """What happens to a site."""

    JOIN_ENTRY = "join_entry"
    JOIN_HOLDER = "join_holder"
    REPLACE_ENTRY = "replace_entry"
    REPLACE_HOLDER = "replace_holder"
    EMPTY_HOLDER = "empty_holder"
    STOP_ENTRY = "stop_entry"
    STOP_HOLDER = "stop_holder"
    KILL_HOLDER = "kill_holder"
    KILL_ALL = "kill_all"
    LOSE_DISK = "lose_disk"
    LOSE_DISK_AND_KILL_ALL = "lose_disk_and_kill_all"
    CONFIGURE = "configure"
    HANG_UP = "hang_up"


class Order(StrEnum):
    """How a machine makes way for its successor."""

    STOP_FIRST = "stop_first"
    KILL_FIRST = "kill_first"
    SUCCESSOR_FIRST = "successor_first"


WEIGHTS: Final = {
    TurnoverKind.JOIN_ENTRY: 1,
    TurnoverKind.JOIN_HOLDER: 1,
    TurnoverKind.REPLACE_ENTRY: 3,
    TurnoverKind.REPLACE_HOLDER: 6,
    TurnoverKind.EMPTY_HOLDER: 2,
    TurnoverKind.STOP_ENTRY: 2,
    TurnoverKind.STOP_HOLDER: 2,
    TurnoverKind.KILL_HOLDER: 3,
    TurnoverKind.KILL_ALL: 1,
    TurnoverKind.LOSE_DISK: 5,
    TurnoverKind.LOSE_DISK_AND_KILL_ALL: 3,
    TurnoverKind.CONFIGURE: 2,
    TurnoverKind.HANG_UP: 3,
}
# Steps a second: those that need a disk to be lost wait for the one before.
RATE: Final = 0.5
# A machine that returns is away for up to this long, and one with a successor runs, or
# is gone, for up to this long beside it.
MOST_AWAY_SECONDS: Final = 9.0
MOST_GAP_SECONDS: Final = 4.0


@dataclass(frozen=True)
class TurnoverStep:
    """What happens when, and to which machine.

    Attributes
    ----------
    at : float
        Seconds from the start of the play.
    pick : float
        From 0 to 1: which of the machines.
    away_seconds, gap_seconds : float
        How long a machine is away, or between it and its successor.
    """

    kind: TurnoverKind
    at: float
    pick: float
    order: Order
    away_seconds: float
    gap_seconds: float


def draw_turnover(seed: int, seconds: float) -> list[TurnoverStep]:
    """Return the steps of a play in order of time; the last one is its final fault."""
    chance = random.Random(f"{seed} turnover")
    count = max(1, round(RATE * seconds))
    kinds = chance.choices(list(WEIGHTS), list(WEIGHTS.values()), k=count)
    times = sorted(chance.uniform(0.0, seconds) for _ in kinds)
    steps = [draw_step(chance, *drawn) for drawn in zip(kinds, times, strict=True)]
    final = chance.choice((TurnoverKind.KILL_ALL, TurnoverKind.LOSE_DISK_AND_KILL_ALL))
    return [*steps, draw_step(chance, final, seconds)]


def draw_step(chance: random.Random, kind: TurnoverKind, at: float) -> TurnoverStep:
    """Return a step of a kind at a time."""
    return TurnoverStep(
        kind,
        at,
        chance.random(),
        chance.choice(list(Order)),
        chance.uniform(0.0, MOST_AWAY_SECONDS),
        chance.uniform(0.0, MOST_GAP_SECONDS),
    )
