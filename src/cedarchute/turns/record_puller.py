"""Copies to this disk the records that it lacks and another disk has."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.turns.copy_messages import (
    ListRecords,
    ReadTurns,
    RecordIndex,
    TurnsRead,
)
from cedarchute.turns.program_state import DEFAULT_RETENTION_SECONDS
from cedarchute.turns.records import Reserved, Settled

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarchute.metrics import Metrics
    from cedarchute.turns.copy_messages import ProgramIndex
    from cedarchute.turns.disk_location import DiskLocation
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.program_state import ProgramState
    from cedarchute.turns.records import Record
    from cedarchute.turns.seat_table import SeatTable
    from cedarchute.turns.turn_storage import TurnStorage

# Names in one request, and their bytes; the turns are read in several answers if they
# are long.
TURNS_PER_REQUEST: Final = 1000
NAME_BYTES_PER_REQUEST: Final = 1_000_000


class RecordPuller:
    """Reads what changed at other disks, and writes what is missing here.

    Attributes
    ----------
    positions : dict
        How far each disk was read for a seat: its process and position. All before is
        stored here.
    copied_records, copied_bytes : int
        What was copied since the start of this process.
    """

    def __init__(
        self, client: HolderClient, storage: TurnStorage, metrics: Metrics
    ) -> None:
        self.client = client
        self.storage = storage
        self.metrics = metrics
        self.positions: dict[tuple[str, int], tuple[str, int]] = {}
        self.copied_records = 0
        self.copied_bytes = 0

    def pull(self, source: DiskLocation, table: SeatTable, seat: int) -> bool:
        """Copy all records of a seat that a disk has; return whether it has all.

        The source installs `table` before it answers, so all that it acknowledged
        under older tables is copied.

        Raises
        ------
        HolderUnavailableError
            If the source does not answer or refuses.
        OSError
            If a record cannot be written.
        """
        key = (source.disk, seat)
        while True:
            process, after = self.positions.get(key, ("", 0))
            message = ListRecords(table, seat, source.box, source.disk, process, after)
            page = self.client.ask(source.address, "/turns/index", message, RecordIndex)
            self.copy_page(source, page)
            self.positions[key] = (page.process, page.next)
            if page.is_last:
                return page.is_complete

    def copy_page(self, source: DiskLocation, page: RecordIndex) -> None:
        """Copy what is missing of one page of programs."""
        programs = self.storage.programs
        idle_seconds = {index.program: index.idle_seconds for index in page.programs}
        turns = [
            (index.program, turn)
            for index in page.programs
            for turn in list_missing_turns(index, programs.get(index.program))
        ]
        for names in split_names(turns):
            self.copy_turns(source, names, idle_seconds)
        others = [
            record
            for index in page.programs
            for record in list_missing_counts(index, programs.get(index.program))
        ]
        self.store(others, idle_seconds)

    def copy_turns(
        self,
        source: DiskLocation,
        names: list[tuple[str, str]],
        idle_seconds: dict[str, float],
    ) -> None:
        """Copy completed turns by program and name.

        A turn of another program with the same id is left out; an earlier version may
        hand it out instead.
        """
        while names:
            programs, turns = zip(*names, strict=True)
            message = ReadTurns(source.box, source.disk, turns, programs)
            answer = self.client.ask(source.address, "/turns/read", message, TurnsRead)
            asked = set(names)
            self.store(
                [turn for turn in answer.turns if (turn.program, turn.turn) in asked],
                idle_seconds,
            )
            self.copied_bytes += sum(
                len(turn.input) + len(turn.output) for turn in answer.turns
            )
            names = names[max(1, answer.handled) :]

    def store(self, records: list[Record], idle_seconds: dict[str, float]) -> None:
        """Write copied records durably."""
        if not records:
            return
        self.storage.write_copies(records, idle_seconds)
        self.copied_records += len(records)
        self.metrics.count("holders.records_copied", len(records))


def split_names(turns: list[tuple[str, str]]) -> Iterator[list[tuple[str, str]]]:
    """Yield turns, by program and name, as many as fit into a request."""
    names: list[tuple[str, str]] = []
    size = 0
    for program, turn in turns:
        cost = len(program) + len(turn)
        is_full = len(names) >= TURNS_PER_REQUEST
        if names and (is_full or size + cost > NAME_BYTES_PER_REQUEST):
            yield names
            names, size = [], 0
        names.append((program, turn))
        size += cost
    if names:
        yield names


def list_missing_turns(index: ProgramIndex, state: ProgramState | None) -> list[str]:
    """Return the completed turns that are not stored here."""
    if state is None:
        return list(index.completed)
    return [turn for turn in index.completed if turn not in state.completed]


def list_missing_counts(
    index: ProgramIndex, state: ProgramState | None
) -> list[Record]:
    """Return the token counts, the budget and the retention not stored here."""
    program, budget = index.program, index.budget
    terms = (budget, index.open_seconds, index.keep_seconds)
    settled = state.settled if state else {}
    known = settled.keys() | (state.open.keys() if state else set())
    records: list[Record] = [
        Settled(program, turn, tokens)
        for turn, tokens in index.settled.items()
        if turn not in settled
    ]
    records += [
        Reserved(program, turn, tokens, *terms)
        for turn, tokens in index.open.items()
        if turn not in known
    ]
    own_budget = state.budget if state else None
    is_lower = budget is not None and (own_budget is None or budget < own_budget)
    own_retention = state.retention_seconds if state else DEFAULT_RETENTION_SECONDS
    if is_lower or index.keep_seconds > own_retention:
        # A reservation of a settled turn carries only the budget and the retention.
        turn = next(iter((*index.settled, *index.completed)), None)
        if turn is not None:
            records.append(Reserved(program, turn, 0, budget, 0.0, index.keep_seconds))
        else:
            records += [Reserved(program, t, n, *terms) for t, n in index.open.items()]
    return records
