"""Drops programs past their retention time, unless other holders still use them."""

from __future__ import annotations

import logging
import time
from collections import Counter
from itertools import accumulate
from typing import TYPE_CHECKING, Final

from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.messages import IdleTimes, ReadIdleTimes

if TYPE_CHECKING:
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.seat_table import SeatTable
    from cedarchute.turns.turn_storage import TurnStorage

log = logging.getLogger("cedarchute.turns")

# Bound the size of a request to another holder.
MAX_PROGRAMS_PER_ROUND: Final = 1000
MAX_NAME_BYTES_PER_ROUND: Final = 1_000_000


class Expiry:
    """Checks with other holders before a program is dropped.

    A turn is written to a quorum, so a holder can miss all later turns of a program
    and still have one of the only two copies of an earlier one.
    """

    def __init__(
        self,
        client: HolderClient,
        storage: TurnStorage,
        seats: ActiveSeatTable,
        disk: str,
    ) -> None:
        self.client = client
        self.storage = storage
        self.seats = seats
        self.disk = disk

    def run_once(self) -> int:
        """Drop the programs that no quorum has used; return their number."""
        table = self.seats.table
        expired = take_first(self.storage.list_expired())
        confirmed = self.count_confirmations(table, expired)
        dropped = 0
        for program in expired:
            if confirmed[program] >= self.count_needed(table, program):
                dropped += self.drop_if_expired(program)
        return dropped

    def count_needed(self, table: SeatTable, program: str) -> int:
        """Return how many other holders have to confirm that a program is unused.

        That many and this one leave too few holders for a quorum. None have to if this
        disk has nothing to lose, or is not one that the records count on.
        """
        if self.storage.programs[program].is_empty:
            return 0
        if table.closed and not self.is_stored_here(table, program):
            return 0
        return len(table.seats) - table.quorum if table.closed else 1

    def is_stored_here(self, table: SeatTable, program: str) -> bool:
        """Whether this disk counts as one that has the records of a program."""
        own = table.find_disk(self.disk)
        return any(
            number == own or table.needs_disk(number, self.disk)
            for number in table.find_seats(program)
        )

    def count_confirmations(self, table: SeatTable, expired: list[str]) -> Counter[str]:
        """Ask the other holders; return how many agree, by program.

        All of them are asked, even after enough agree: a program that continues this
        one may have other seats, and only a holder that has both may know of that use.
        """
        confirmed: Counter[str] = Counter()
        for number in table.list_occupied():
            if table.seats[number].disk == self.disk:
                continue
            programs = [
                program for program in expired if self.count_needed(table, program) > 0
            ]
            if programs:
                confirmed.update(self.ask(table, number, programs))
        return confirmed

    def ask(self, table: SeatTable, number: int, programs: list[str]) -> list[str]:
        """Return the programs that one holder has not used either."""
        seat = table.seats[number]
        message = ReadIdleTimes(
            table_version=table.version, disk=seat.disk, programs=tuple(programs)
        )
        try:
            answer = self.client.ask(seat.address, "/turns/idle", message, IdleTimes)
        except HolderUnavailableError as error:
            log.info(
                "Holder did not tell which programs are in use.",
                extra={"box": seat.box, "why": str(error)},
            )
            return []
        now = time.monotonic()
        for program, idle_seconds in answer.seconds.items():
            state = self.storage.programs.get(program)
            if state is not None:
                state.last_used_at = max(state.last_used_at, now - idle_seconds)
                state.keep_for(answer.keep_seconds.get(program, 0.0))
        return [p for p in programs if self.is_expired(p)]

    def is_expired(self, program: str) -> bool:
        """Whether a program is past its retention time by what is known now."""
        state = self.storage.programs.get(program)
        return state is not None and state.is_expired(time.monotonic())

    def drop_if_expired(self, program: str) -> bool:
        """Drop a program unless it was used meanwhile; return whether it is gone."""
        if not self.is_expired(program):
            return False
        self.storage.drop(program)
        return True


def take_first(programs: list[str]) -> list[str]:
    """Return as many of the programs as one round may ask about; one at least."""
    programs = programs[:MAX_PROGRAMS_PER_ROUND]
    sizes = accumulate(map(len, programs))
    return [
        program
        for number, (program, size) in enumerate(zip(programs, sizes, strict=True))
        if not number or size <= MAX_NAME_BYTES_PER_ROUND
    ]
