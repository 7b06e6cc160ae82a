"""The priority of a call, from what is known of its program."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cedarchute.operators.site_file import Order

LEVEL_TOKENS: Final = 256
LEVELS: Final = 8
AGEING_SECONDS: Final = 20.0
HEAD_START_SECONDS: Final = 2.0
STEPS_A_SECOND: Final = 10


@dataclass(frozen=True)
class PriorityInputs:
    """What the order of programs depends on.

    Attributes
    ----------
    opened_at : float
        Wall clock time at which the program opened, in seconds; for a sub-agent
        that of the program at the root, so that nobody waits for a latecomer.
    age_seconds : float
        Seconds since then.
    attained_tokens : int
        Tokens computed for the program so far.
    weight : float
        The weight of its workspace.
    """

    opened_at: float
    age_seconds: float
    attained_tokens: int
    weight: float


def compute_priority(order: Order, standing: PriorityInputs) -> int:
    """Return the priority of a program's next call; lower goes first.

    Oldest first makes a program wait in one queue once, instead of at the end of
    a queue at each of its turns: that shortens the slowest programs. Least
    attained service first shortens the short programs at the cost of long ones;
    age lifts these again.
    """
    if order is Order.OLDEST:
        head_start = HEAD_START_SECONDS * (standing.weight - 1.0)
        return int((standing.opened_at - head_start) * STEPS_A_SECOND)
    weighed = standing.attained_tokens / standing.weight
    level = min(LEVELS, int(weighed / LEVEL_TOKENS).bit_length())
    return max(0, level - int(standing.age_seconds / AGEING_SECONDS))
