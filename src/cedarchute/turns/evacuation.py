"""Copies the records of a retiring holder to the remaining holders."""

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
    """Writes every record to all holders of its program.

    Keeps the number of copies of each acknowledged record when this disk goes away.
    """

    def __init__(
        self, client: HolderClient, storage: TurnStorage, seats: ActiveSeatTable
    ) -> None:
        self.client = client
        self.storage = storage
        self.seats = seats

    def run_once(self) -> bool:
        """Copy all records; return whether every holder stored its share."""
        table = self.seats.table
        by_seat: dict[int, list[Record]] = {}
        for program, state in list(self.storage.programs.items()):
            for number in table.find_seats(program):
                records = state.list_records(program)
                by_seat.setdefault(number, []).extend(records)
        done = [self.hand_over(table, number, by_seat[number]) for number in by_seat]
        return all(done) and self.seats.table.version == table.version

    def hand_over(self, table: SeatTable, number: int, records: list[Record]) -> bool:
        """Send records to one holder; return whether it stored them."""
        seat = table.seats[number]
        if seat.is_vacant:
            return True
        message = TakeRecords(
            table_version=table.version, disk=seat.disk, records=tuple(records)
        )
        try:
            self.client.ask(seat.address, "/turns/take", message, RecordsTaken)
        except HolderUnavailableError as error:
            log.info(
                "Handing over records failed.",
                extra={"box": seat.box, "why": str(error)},
            )
            return False
        log.info(
            "Handed over records.", extra={"box": seat.box, "records": len(records)}
        )
        return True
