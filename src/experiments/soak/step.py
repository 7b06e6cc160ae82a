"""The steps of a play of planned work, and the losses beside it, as a seed says."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Final


class StepKind(StrEnum):
    """What an operator does, or what is lost."""

    RESTART_ENTRY = "restart_entry"
    RESTART_HOLDER = "restart_holder"
    HANG_UP = "hang_up"
    HANG_UP_ALL = "hang_up_all"
    CONFIGURE = "configure"
    KILL_ENTRY = "kill_entry"
    KILL_HOLDER = "kill_holder"
    KILL_ALL = "kill_all"
    WIPE = "wipe"
    WIPE_AND_KILL_ALL = "wipe_and_kill_all"


PLANNED_WEIGHTS: Final = {
    StepKind.RESTART_ENTRY: 5,
    StepKind.RESTART_HOLDER: 2,
    StepKind.HANG_UP: 4,
    StepKind.HANG_UP_ALL: 1,
    StepKind.CONFIGURE: 3,
}
LOSS_WEIGHTS: Final = {
    StepKind.KILL_ENTRY: 2,
    StepKind.KILL_HOLDER: 2,
    StepKind.KILL_ALL: 2,
    StepKind.WIPE: 1,
}
# Steps and losses a second: a restart takes some 10 s, so that several overlap.
PLANNED_RATE: Final = 0.9
LOSS_RATE: Final = 0.1
MOST_START_SIGNALS: Final = 2
# Longer than a start takes.
START_SECONDS: Final = 0.8
STOP_SHARE: Final = 0.3


@dataclass(frozen=True)
class StartSignal:
    """A signal to a process that is starting, some time after its spawn."""

    seconds: float
    is_stop: bool


@dataclass(frozen=True)
class Step:
    """What happens when, and to which of those it may happen to.

    Attributes
    ----------
    at : float
        Seconds from the start of the play.
    pick : float
        From 0 to 1: which of the boxes.
    signals : tuple of StartSignal
        What the process is sent that takes the place of one that ended.
    """

    kind: StepKind
    at: float
    pick: float
    signals: tuple[StartSignal, ...]


def draw_steps(seed: int, seconds: float, with_losses: bool) -> list[Step]:
    """Return the steps of a play, in order of time."""
    chance = random.Random(f"{seed} planned")
    kinds = draw_kinds(chance, PLANNED_WEIGHTS, PLANNED_RATE * seconds)
    steps = [draw_step(chance, kind, seconds) for kind in kinds]
    if with_losses:
        chance = random.Random(f"{seed} losses")
        kinds = draw_kinds(chance, LOSS_WEIGHTS, LOSS_RATE * seconds)
        kinds.append(StepKind.WIPE_AND_KILL_ALL)
        steps += [draw_step(chance, kind, seconds) for kind in kinds]
    return sorted(steps, key=lambda step: step.at)


def draw_kinds(
    chance: random.Random, weights: dict[StepKind, int], count: float
) -> list[StepKind]:
    """Return what happens, one kind for each step."""
    whole = max(1, round(count))
    return chance.choices(list(weights), list(weights.values()), k=whole)


def draw_step(chance: random.Random, kind: StepKind, seconds: float) -> Step:
    """Return a step of a kind at some time."""
    at, pick = chance.uniform(0.0, seconds), chance.random()
    signals = [
        StartSignal(chance.uniform(0.0, START_SECONDS), chance.random() < STOP_SHARE)
        for _ in range(chance.randint(0, MOST_START_SIGNALS))
    ]
    signals.sort(key=lambda signal: signal.seconds)
    return Step(kind, at, pick, tuple(signals))
