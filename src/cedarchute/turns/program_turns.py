"""The turns and the spent tokens of one program, as one holder knows them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from cedarchute.turns.records import Reserved, Settled, Turn

if TYPE_CHECKING:
    from cedarchute.turns.records import Record

# Until the first whole turn says how long it is kept: the longest that a program
# that has only begun may stay away between two tries.
KEEP_DEFAULT_SECONDS: Final = 60.0
# A program that was refused comes back within seconds, or not at all.
KEEP_EMPTY_SECONDS: Final = 10.0


class ProgramTurns:
    """Applies records in any order, each any number of times.

    A turn is open while it is only reserved. Once it is settled, whole or not, a
    reservation that arrives late does not open it again.

    Attributes
    ----------
    budget : int or None
        The smallest that any call named, so that naming a larger one later wins
        nothing.
    heard_at : float or None
        When the program was first asked about here; unknown if its records came from
        the disk or from other holders.
    """

    def __init__(self) -> None:
        self.open: dict[str, int] = {}
        self.settled: dict[str, int] = {}
        self.whole: dict[str, Turn] = {}
        self.budget: int | None = None
        self.heard_at: float | None = None
        self.keep_seconds = KEEP_DEFAULT_SECONDS
        self.used_at = time.monotonic()

    def apply(self, record: Record) -> bool:
        """Take in a record; return whether it told anything new."""
        self.used_at = time.monotonic()
        if isinstance(record, Reserved):
            self.note_budget(record.budget)
            if record.turn in self.settled or record.turn in self.open:
                return False
            self.open[record.turn] = record.tokens
            return True
        is_new = record.turn not in self.settled
        if isinstance(record, Turn):
            is_new = record.turn not in self.whole
            self.whole[record.turn] = record
            self.keep_seconds = max(self.keep_seconds, record.keep_seconds)
        self.open.pop(record.turn, None)
        if isinstance(record, Turn) or record.turn not in self.settled:
            self.settled[record.turn] = record.tokens
        return is_new

    def note_budget(self, budget: int | None) -> None:
        """Take in the budget that a call named."""
        if budget is None:
            return
        self.budget = budget if self.budget is None else min(self.budget, budget)

    @property
    def is_empty(self) -> bool:
        """Whether nothing was written down yet."""
        return not (self.open or self.settled)

    def note_heard(self) -> None:
        """Take in that somebody asks about the program."""
        if self.heard_at is None and self.is_empty:
            self.heard_at = time.monotonic()

    @property
    def age_seconds(self) -> float | None:
        """How long ago it was first asked about, if that is known."""
        return None if self.heard_at is None else time.monotonic() - self.heard_at

    @property
    def spent(self) -> int:
        """Tokens generated or reserved."""
        return sum(self.settled.values()) + sum(self.open.values())

    def list_records(self, program: str) -> list[Record]:
        """Return records that build this state again."""
        records: list[Record] = list(self.whole.values())
        for turn, tokens in self.settled.items():
            if turn not in self.whole:
                records.append(Settled(program, turn, tokens))
        for turn, tokens in self.open.items():
            records.append(Reserved(program, turn, tokens, self.budget))
        if self.budget is not None and self.settled:
            # A reservation of a settled turn tells nothing but the budget.
            settled = next(iter(self.settled))
            records.append(Reserved(program, settled, 0, self.budget))
        return records

    def is_over(self, now: float) -> bool:
        """Whether nobody may ask for this program any more."""
        seconds = KEEP_EMPTY_SECONDS if self.is_empty else self.keep_seconds
        return now - self.used_at > seconds
