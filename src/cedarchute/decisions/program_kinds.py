"""How long the programs of each kind usually are, learned from those that ended."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from cedarchute.record import Record

# Until a kind is known; too many turns refuse programs that would have fit, too few cut
# some of them short.
DEFAULT_TURNS: Final = 4.0
DEFAULT_SECONDS: Final = 3.0
# How many ended programs the defaults weigh as much as.
DEFAULT_WEIGHT: Final = 2.0
# The mean is over about as many of the last programs.
MAX_WEIGHT: Final = 50.0
MAX_KINDS: Final = 256


class ProgramShape(Record):
    """Means over the programs of one kind.

    Attributes
    ----------
    turns : float
        Turns of a program.
    seconds : float
        Time from its first turn to its last.
    weight : float
        How many programs the means stand for.
    """

    turns: float = DEFAULT_TURNS
    seconds: float = DEFAULT_SECONDS
    weight: float = DEFAULT_WEIGHT

    @property
    def turn_seconds(self) -> float:
        """Mean time between two turns."""
        return self.seconds / max(1.0, self.turns)


class ProgramKinds:
    """Decayed means of each kind, at most `MAX_KINDS`."""

    def __init__(self) -> None:
        self.shapes: OrderedDict[str, ProgramShape] = OrderedDict()

    def find(self, kind: str) -> ProgramShape:
        """Return what is known of a kind, or the defaults."""
        return self.shapes.get(kind, ProgramShape())

    def learn(self, kind: str, turns: int, seconds: float) -> None:
        """Take in a program that ended."""
        known = self.find(kind)
        weight = min(MAX_WEIGHT, known.weight + 1.0)
        self.shapes[kind] = ProgramShape(
            known.turns + (turns - known.turns) / weight,
            known.seconds + (seconds - known.seconds) / weight,
            weight,
        )
        self.shapes.move_to_end(kind)
        if len(self.shapes) > MAX_KINDS:
            self.shapes.popitem(last=False)
