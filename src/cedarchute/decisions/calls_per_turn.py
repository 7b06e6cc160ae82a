"""How many calls programs make for each turn, turns included."""

from __future__ import annotations

from typing import Final

# A mean over fewer turns says little.
MIN_TURNS: Final = 20
# Beyond it, both counts are halved, so that the mean follows a change.
MAX_TURNS: Final = 400
# The same for calls, since a box may see no turns of the programs that make them.
MAX_CALLS: Final = 100 * MAX_TURNS


class CallsPerTurn:
    """Mean over the calls that one box has let pass."""

    def __init__(self) -> None:
        self.calls = 0.0
        self.turns = 0.0

    def count(self, is_turn: bool) -> None:
        """Count a call of a program."""
        self.calls += 1.0
        self.turns += is_turn
        if self.turns > MAX_TURNS or self.calls > MAX_CALLS:
            self.calls /= 2.0
            self.turns /= 2.0

    @property
    def mean(self) -> float:
        """Calls for each turn; 0 if unknown."""
        return self.calls / self.turns if self.turns >= MIN_TURNS else 0.0
