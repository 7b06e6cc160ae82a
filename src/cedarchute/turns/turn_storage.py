"""All programs of one holder, in memory and on disk."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cedarchute.turns.program_turns import ProgramTurns
from cedarchute.turns.records import Turn

if TYPE_CHECKING:
    from cedarchute.turns.group_commit_writer import GroupCommitWriter
    from cedarchute.turns.records import Record


class TurnStorage:
    """Takes records in; they count once they are on the disk."""

    def __init__(self, writer: GroupCommitWriter) -> None:
        self.writer = writer
        self.programs: dict[str, ProgramTurns] = {}
        self.program_of: dict[str, str] = {}

    def load(self) -> int:
        """Read the disk; return how many records it held."""
        count = 0
        for record in self.writer.journal.read_all():
            self.apply(record)
            count += 1
        return count

    def apply(self, record: Record) -> None:
        """Take a record into memory."""
        self.find(record.program).apply(record)
        if isinstance(record, Turn):
            self.program_of[record.turn] = record.program

    def collect_chain(self, turn: str) -> tuple[list[Turn], str]:
        """Return the turns up to `turn`, oldest first, and the first that lacks.

        A program may go on from a turn of another. The second is empty when the
        chain is all here. Every program on the way counts as used.
        """
        chain: list[Turn] = []
        seen: set[str] = set()
        while turn and turn not in seen:
            seen.add(turn)
            if turn not in self.program_of:
                return chain[::-1], turn
            turns = self.programs[self.program_of[turn]]
            turns.used_at = time.monotonic()
            chain.append(turns.whole[turn])
            turn = chain[-1].previous
        return chain[::-1], ""

    def find(self, program: str) -> ProgramTurns:
        """Return the state of a program, made on first use."""
        found = self.programs.get(program)
        if found is None:
            found = self.programs[program] = ProgramTurns()
        return found

    def write(self, records: list[Record]) -> None:
        """Apply records, and return once they are on the disk.

        Records known already are written again: the first write may have failed.
        """
        for record in records:
            self.apply(record)
        self.writer.write(records)

    def drop_expired(self) -> int:
        """Forget the programs that nobody may ask for; return how many."""
        now = time.monotonic()
        over = [p for p, turns in self.programs.items() if turns.is_over(now)]
        for program in over:
            for turn in self.programs.pop(program).whole:
                self.program_of.pop(turn, None)
        return len(over)

    def compact(self) -> None:
        """Write what is alive into a new segment and drop the older ones."""
        keep_from = self.writer.journal.roll()
        for program in list(self.programs):
            turns = self.programs.get(program)
            if turns is not None:
                self.writer.write(turns.list_records(program))
        self.writer.journal.drop_before(keep_from)
