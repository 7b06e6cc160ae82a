"""Hands out the records of this disk to holders that lack some."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, Final

from cedarchute.turns.copy_messages import ProgramIndex, RecordIndex, TurnsRead

if TYPE_CHECKING:
    from cedarchute.turns.copy_messages import ListRecords, ReadTurns
    from cedarchute.turns.holder import Holder
    from cedarchute.turns.program_state import ProgramState
    from cedarchute.turns.records import Turn

PAGE_NAMES: Final = 10_000
PAGE_NAME_BYTES: Final = 1_000_000
PAGE_BYTES: Final = 1_000_000


class RecordSource:
    """Lists what changed at this disk since a position, and reads turns by name.

    A disk without a seat, or one that may lack records, hands out those that it has:
    they can be the last copies, if it had a seat before.
    """

    def __init__(self, holder: Holder) -> None:
        self.holder = holder
        self.storage = holder.storage
        self.process = secrets.token_hex(8)

    def list_records(self, message: ListRecords) -> RecordIndex:
        """Return a page of the records of one seat."""
        self.holder.admit_reader(message)
        after = message.after if message.process == self.process else 0
        now = time.monotonic()
        programs: list[ProgramIndex] = []
        names = size = 0
        position = after
        is_last = True
        for changed_at, program in self.storage.changes.list_after(after):
            if names >= PAGE_NAMES or size >= PAGE_NAME_BYTES:
                is_last = False
                break
            position = changed_at
            if not message.table.is_stored_at(program, message.seat):
                continue
            state = self.storage.programs[program]
            used_at = self.storage.find_last_use(program) or now
            programs.append(describe(program, state, now - used_at))
            names += 1 + len(state.open) + len(state.settled)
            size += len(program) + sum(map(len, (*state.open, *state.settled)))
        return RecordIndex(
            tuple(programs), self.process, position, is_last, self.holder.caught_up
        )

    def read_turns(self, message: ReadTurns) -> TurnsRead:
        """Return completed turns, up to the size of a page."""
        self.holder.check_disk(message.box, message.disk)
        turns: list[Turn] = []
        size = 0
        for handled, name in enumerate(message.turns, start=1):
            if message.programs:
                program = message.programs[handled - 1]
                turn = self.storage.find_turn_of(program, name)
            else:
                turn = self.storage.find_turn(name)
            if turn is not None:
                turns.append(turn)
                size += len(turn.input) + len(turn.output)
            if size >= PAGE_BYTES:
                return TurnsRead(tuple(turns), handled)
        return TurnsRead(tuple(turns), len(message.turns))


def describe(program: str, state: ProgramState, idle_seconds: float) -> ProgramIndex:
    """Return the index of one program."""
    return ProgramIndex(
        program=program,
        idle_seconds=idle_seconds,
        budget=state.budget,
        open=dict(state.open),
        settled={t: n for t, n in state.settled.items() if t not in state.completed},
        completed=tuple(state.completed),
        open_seconds=max(0.0, state.open_until - time.monotonic()),
        keep_seconds=state.retention_seconds,
    )
