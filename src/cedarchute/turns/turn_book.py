"""All programs of one holder, in memory and on disk."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cedarchute.turns.program_turns import ProgramTurns

if TYPE_CHECKING:
    from cedarchute.turns.records import Record
    from cedarchute.turns.turn_writer import TurnWriter


class TurnBook:
    """Takes records in; they count once they are on the disk."""

    def __init__(self, writer: TurnWriter) -> None:
        self.writer = writer
        self.programs: dict[str, ProgramTurns] = {}

    def load(self) -> int:
        """Read the disk; return how many records it held."""
        count = 0
        for record in self.writer.journal.read_all():
            self.find(record.program).apply(record)
            count += 1
        return count

    def find(self, program: str) -> ProgramTurns:
        """Return the state of a program, made on first use."""
        found = self.programs.get(program)
        if found is None:
            found = self.programs[program] = ProgramTurns()
        return found

    def take(self, records: list[Record]) -> None:
        """Apply records, and return once they are on the disk.

        Records known already are written again: the first write may have failed.
        """
        for record in records:
            self.find(record.program).apply(record)
        self.writer.write(records)

    def drop_over(self) -> int:
        """Forget the programs that nobody may ask for; return how many."""
        now = time.monotonic()
        over = [p for p, turns in self.programs.items() if turns.is_over(now)]
        for program in over:
            del self.programs[program]
        return len(over)

    def compact(self) -> None:
        """Write what is alive into a new segment and drop the older ones."""
        keep_from = self.writer.journal.roll()
        for program in list(self.programs):
            turns = self.programs.get(program)
            if turns is not None:
                self.writer.write(turns.list_records(program))
        self.writer.journal.drop_before(keep_from)
