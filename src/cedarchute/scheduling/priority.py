"""Priority of a call, computed from the state of its program."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cedarchute.operators.site_file import Order

LEVEL_TOKENS: Final = 256
LEVELS: Final = 8
AGEING_SECONDS: Final = 20.0
HEAD_START_SECONDS: Final = 2.0
PRIORITY_STEPS_PER_SECOND: Final = 10


@dataclass(frozen=True)
class PriorityInputs:
    """Inputs to the priority of a program.

    Attributes
    ----------
    opened_at : float
        Wall clock time at which the program opened, in seconds. A sub-agent has
        the time of its root program, so that it does not queue as a new one.
    age_seconds : float
        Seconds since `opened_at`.
    attained_tokens : int
        Tokens computed for the program so far (attained service).
    weight : float
        Weight of the workspace of the program.
    """

    opened_at: float
    age_seconds: float
    attained_tokens: int
    weight: float


def compute_priority(order: Order, inputs: PriorityInputs) -> int:
    """Return the priority of a program's next call; lower goes first.

    `Order.OLDEST` orders programs first come, first served, so that a program does
    not queue again at the back for each call; this reduces the tail of completion
    times. `Order.ATTAINED` is least attained service, which favours short programs;
    ageing prevents starvation of the long ones.
    """
    if order is Order.OLDEST:
        head_start = HEAD_START_SECONDS * (inputs.weight - 1.0)
        return int((inputs.opened_at - head_start) * PRIORITY_STEPS_PER_SECOND)
    weighted_tokens = inputs.attained_tokens / inputs.weight
    level = min(LEVELS, int(weighted_tokens / LEVEL_TOKENS).bit_length())
    return max(0, level - int(inputs.age_seconds / AGEING_SECONDS))
