"""A turn of a program, as the ledger of its workspace is told of it."""

from __future__ import annotations

import math
from typing import Final

from cedarchute.record import Record

# More is a fault of the box that says so.
MAX_CALLS_PER_TURN: Final = 100.0


class ProgramTurn(Record):
    """One turn, and what its box knows of programs.

    Attributes
    ----------
    program, kind : str
        Key of the program and name of its route.
    calls_per_turn : float
        Mean number of calls for each turn, turns included; 0 if unknown.
    begins_program : bool
        False if the turn names an earlier one, so that its program is under way.
    seconds_left : float or None
        Time left until the program's soft deadline, if it has one.
    """

    program: str
    kind: str
    calls_per_turn: float = 0.0
    begins_program: bool = True
    seconds_left: float | None = None

    def ends_in_time(self, seconds: float) -> bool:
        """Return whether a program that ends after `seconds` meets its deadline."""
        return self.seconds_left is None or seconds <= self.seconds_left

    @property
    def is_valid(self) -> bool:
        """Whether a ledger can judge by it."""
        mean = self.calls_per_turn
        is_mean = math.isfinite(mean) and 0.0 <= mean <= MAX_CALLS_PER_TURN
        return bool(self.program and self.kind) and is_mean
