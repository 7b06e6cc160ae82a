"""The priority of a call, from the service that its program has attained."""

from __future__ import annotations

from typing import Final

LEVEL_TOKENS: Final = 256
LEVELS: Final = 8
AGEING_SECONDS: Final = 20.0


def priority_of(
    attained_tokens: int, weight: float, age_seconds: float, children: int = 0
) -> int:
    """Return the priority of a program's next call; lower goes first.

    Programs that attained little go first: that shortens the many short programs
    without knowing their length (least attained service, in levels that double).
    Age lifts a program again, so that long theses end too; a parent that waits
    for sub-agents is lifted by one.

    Parameters
    ----------
    attained_tokens : int
        Tokens computed for the program so far.
    weight : float
        The weight of its workspace; 2 counts each token half.
    age_seconds : float
        Seconds since the program opened.
    children : int
        Sub-agents under way.
    """
    level = int(attained_tokens / weight / LEVEL_TOKENS).bit_length()
    level = min(level, LEVELS)
    lifted = level - int(age_seconds / AGEING_SECONDS) - (1 if children else 0)
    return max(0, lifted)
