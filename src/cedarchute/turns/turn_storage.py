"""State of all programs of one holder, in memory and on disk."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from cedarchute.turns.change_log import ChangeLog
from cedarchute.turns.journal_clock import JournalClock
from cedarchute.turns.program_state import ProgramState, count_text
from cedarchute.turns.records import Dropped, LastUse, Turn, Uptime
from cedarchute.turns.turn_index import TurnIndex

if TYPE_CHECKING:
    from cedarchute.turns.group_commit_writer import GroupCommitWriter
    from cedarchute.turns.records import JournalRecord, Record

# A last use that differs by less from the time of a record is not written.
DATED_SECONDS: Final = 1.0
# A text in the journal is in Base64.
ENCODED_SIZE: Final = 4 / 3


class TurnStorage:
    """Applies records in memory and appends them to the journal.

    Attributes
    ----------
    held_bytes : int
        What programs and their records cost in memory.
    text_bytes : int
        What of that is the text of turns.
    compacted_bytes : int
        Size of the journal after it was last rewritten, as far as known.
    """

    def __init__(self, writer: GroupCommitWriter) -> None:
        self.writer = writer
        self.programs: dict[str, ProgramState] = {}
        self.changes = ChangeLog()
        self.turn_index = TurnIndex()
        self.continued_by: dict[str, set[str]] = {}
        self.text_bytes = 0
        self.held_bytes = 0
        self.compacted_bytes = 0
        self.started_at = time.monotonic()

    def load(self) -> int:
        """Replay the journal; return the number of records.

        A program that was dropped is forgotten again, so that memory is needed only for
        as much as was held at once.
        """
        count = 0
        clock = JournalClock()
        for record in self.writer.journal.read_all():
            self.replay(record, clock)
            count += 1
        now = time.monotonic()
        for program, idle_seconds in clock.list_idle():
            self.programs[program].last_used_at = now - idle_seconds
        stored_bytes = self.writer.journal.stored_bytes
        self.compacted_bytes = min(stored_bytes, int(ENCODED_SIZE * self.held_bytes))
        return count

    def replay(self, record: JournalRecord, clock: JournalClock) -> None:
        """Apply a record of the journal."""
        if isinstance(record, Uptime):
            clock.advance(record.seconds)
        elif isinstance(record, Dropped):
            if record.program in self.programs:
                self.forget(record.program)
                clock.forget(record.program)
        elif isinstance(record, LastUse):
            if record.program in self.programs:
                self.programs[record.program].mark_continued(record.open_seconds)
                clock.note_use(record.program, record.idle_seconds)
        else:
            self.apply(record)
            clock.note_use(record.program)

    def note_uptime(self) -> None:
        """Date the records so far, for a restart."""
        if self.programs:
            self.writer.note(Uptime(time.monotonic() - self.started_at))

    @property
    def wasted_bytes(self) -> int:
        """What a rewrite of the journal may free, of any process before as well."""
        return self.writer.journal.stored_bytes - self.compacted_bytes

    def apply(self, record: Record) -> None:
        """Apply a record in memory."""
        state = self.get_or_create(record.program)
        budget = state.budget
        held = state.held_bytes
        if isinstance(record, Turn):
            self.text_bytes += count_text(record)
            self.text_bytes -= count_text(state.completed.get(record.turn))
        # The name is that of the state: each record has a copy of its own.
        if state.apply(record) or state.budget != budget:
            self.changes.note(state.program)
        self.held_bytes += state.held_bytes - held
        if isinstance(record, Turn):
            self.turn_index.add(record.turn, state.program)
            for program in record.continued:
                self.continued_by.setdefault(program, set()).add(state.program)

    def find_turn(self, turn: str) -> Turn | None:
        """Return the first completed turn with an id, or None."""
        program = self.turn_index.find(turn)
        return None if program is None else self.programs[program].completed[turn]

    def find_turn_of(self, program: str, turn: str) -> Turn | None:
        """Return a completed turn of one program, or None."""
        state = self.programs.get(program)
        return None if state is None else state.completed.get(turn)

    def find_last_use(self, program: str) -> float | None:
        """Return when a program, or one that continues it, was last used, if known."""
        names = (program, *self.continued_by.get(program, ()))
        states = [self.programs[name] for name in names if name in self.programs]
        now = time.monotonic()
        return max((state.find_last_use(now) for state in states), default=None)

    def find_retention(self, program: str) -> float | None:
        """Return the longest retention of a program and those that continue it."""
        names = (program, *self.continued_by.get(program, ()))
        states = [self.programs[name] for name in names if name in self.programs]
        return max((state.retention_seconds for state in states), default=None)

    def collect_chain(
        self,
        turn: str,
        program: str | None = None,
        barred: str = "",
        open_seconds: float = 0.0,
    ) -> tuple[list[Turn], str]:
        """Return the turns up to `turn`, oldest first, and the first missing one.

        The latter is empty if the chain is complete. A chain may span programs; each
        of them counts as used. One that leads back into itself, or to `barred`, ends
        there as if that turn were missing.

        Parameters
        ----------
        program : str or None
            The program that continues the chain. Of turns with the same id its own is
            meant, or one of its workspace; None for any.
        open_seconds : float
            Longest time until the turn ends that continues the chain; other programs
            in it count as used until then.
        """
        continuing = program
        chain: list[Turn] = []
        seen = {barred}
        others: set[str] = set()
        while turn:
            found = self.turn_index.find(turn, program)
            if found is None or turn in seen:
                return chain[::-1], turn
            seen.add(turn)
            program = found
            state = self.programs[program]
            if program == continuing or not open_seconds:
                state.mark_continued(0.0)
            elif program not in others:
                others.add(program)
                state.mark_continued(open_seconds)
                self.writer.note(state.describe_last_use())
            chain.append(state.completed[turn])
            turn = chain[-1].previous
        return chain[::-1], ""

    def get_or_create(self, program: str) -> ProgramState:
        """Return the state of a program, created on first use."""
        found = self.programs.get(program)
        if found is None:
            found = self.programs[program] = ProgramState(program)
            self.held_bytes += found.held_bytes
        return found

    def write(self, records: list[Record]) -> None:
        """Apply records, and return once they are durable.

        Known records are written again, since their first write may have failed.
        """
        for record in records:
            self.apply(record)
        self.writer.write(records)

    def write_copies(
        self, records: list[Record], idle_seconds: dict[str, float]
    ) -> None:
        """Write records of another disk, and return once they are durable.

        Parameters
        ----------
        idle_seconds : dict of str to float
            Time since the last use of each program there; a copy is none.
        """
        now = time.monotonic()
        for record in records:
            program = record.program
            state = self.programs.get(program)
            used_at = now - idle_seconds[program]
            if state is not None:
                used_at = max(used_at, state.last_used_at)
            self.apply(record)
            self.programs[program].last_used_at = used_at
        names = {record.program for record in records}
        self.writer.write([*records, *self.describe_last_uses(names)])

    def describe_last_uses(self, programs: set[str]) -> list[LastUse]:
        """Return the records of last uses that are older than records written now."""
        uses = [self.programs[program].describe_last_use() for program in programs]
        return [
            use for use in uses if use.open_seconds or use.idle_seconds > DATED_SECONDS
        ]

    def sync(self) -> None:
        """Return once all that is known here is durable.

        Raises
        ------
        OSError
            If it cannot be written.
        """
        if self.writer.has_failed:
            self.compact()
        else:
            self.writer.write([])

    def list_expired(self) -> list[str]:
        """Return the programs past their retention time at this holder."""
        for program in self.continued_by:
            state = self.programs.get(program)
            if state is not None:
                state.last_used_at = self.find_last_use(program) or 0.0
                state.keep_for(self.find_retention(program) or 0.0)
        now = time.monotonic()
        return [p for p, state in self.programs.items() if state.is_expired(now)]

    def drop(self, program: str) -> None:
        """Forget a program, also after a restart."""
        if not self.programs[program].is_empty:
            self.writer.note(Dropped(program))
        self.forget(program)

    def forget(self, program: str) -> None:
        """Forget a program in memory."""
        self.changes.drop(program)
        state = self.programs.pop(program)
        self.held_bytes -= state.held_bytes
        for turn in state.completed.values():
            self.turn_index.remove(turn.turn, program)
            self.text_bytes -= count_text(turn)
            for continued in turn.continued:
                self.forget_use(continued, program)

    def forget_use(self, continued: str, program: str) -> None:
        """Forget that `program` continues another one."""
        users = self.continued_by.get(continued, set())
        users.discard(program)
        if not users:
            self.continued_by.pop(continued, None)

    def compact(self) -> None:
        """Rewrite the live records to new segments and delete the older ones."""
        self.writer.has_failed = False
        keep_from = self.writer.start_segment()
        for program in list(self.programs):
            state = self.programs.get(program)
            if state is not None:
                uses = self.describe_last_uses({program})
                self.writer.write([*state.list_records(program), *uses])
        self.writer.journal.delete_before(keep_from)
        self.compacted_bytes = self.writer.journal.stored_bytes
