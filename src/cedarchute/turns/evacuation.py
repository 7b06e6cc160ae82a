"""Hands what a retiring holder has to the holders that stay."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.messages import RecordsTaken, TakeRecords

if TYPE_CHECKING:
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.records import Record
    from cedarchute.turns.seat_table import SeatTable
    from cedarchute.turns.turn_storage import TurnStorage

log = logging.getLogger("cedarchute.turns")


class Evacuation:
    """Writes every record down at all the seats of its program.

    A record that a quorum acknowledged may stand here and on one other disk only;
    once this disk is gone, as many copies as before have to be left.
    """

    def __init__(
        self, client: HolderClient, book: TurnStorage, seats: ActiveSeatTable
    ) -> None:
        self.client = client
        self.book = book
        self.seats = seats

    def run_once(self) -> bool:
        """Hand everything over; return whether every holder took it."""
        table = self.seats.table
        by_seat: dict[int, list[Record]] = {}
        for program, turns in list(self.book.programs.items()):
            for number in table.find_seats(program):
                records = turns.list_records(program)
                by_seat.setdefault(number, []).extend(records)
        done = [self.hand_over(table, number, by_seat[number]) for number in by_seat]
        return all(done) and self.seats.table.version == table.version

    def hand_over(self, table: SeatTable, number: int, records: list[Record]) -> bool:
        """Hand records to one holder; return whether it took them."""
        seat = table.seats[number]
        if seat.is_vacant:
            return True
        message = TakeRecords(
            table_version=table.version, disk=seat.disk, records=tuple(records)
        )
        try:
            self.client.ask(seat.address, "/turns/take", message, RecordsTaken)
        except HolderUnavailableError as error:
            log.info("Not handed over.", extra={"box": seat.box, "why": str(error)})
            return False
        log.info("Handed over.", extra={"box": seat.box, "records": len(records)})
        return True
