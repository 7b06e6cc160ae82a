"""Writes the next seat table to the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from cedarchute.fleet.followers import SEATS_KEY, read_seats

if TYPE_CHECKING:
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.seat_table import SeatTable

log = logging.getLogger("cedarchute.turns")


class SeatTableWriter:
    """Replaces the table in the store by compare-and-swap."""

    def __init__(self, store: StoreClient, seats: ActiveSeatTable) -> None:
        self.store = store
        self.seats = seats

    def write(self, table: SeatTable) -> bool:
        """Write the next table; on conflict, use the stored one.

        Returns whether it was written.
        """
        current = self.store.get(SEATS_KEY)
        if current is not None:
            stored = self.parse_stored(current.value)
            if stored.version == 0:
                return False
            if stored.version != table.version - 1:
                self.seats.update(stored, "store")
                return False
        elif table.version != 1:
            return False
        text = msgspec.json.encode(table).decode()
        result = self.store.swap(SEATS_KEY, text, current.version if current else 0)
        if result.won:
            self.seats.update(table, "own change")
        elif result.current is not None:
            self.seats.update(self.parse_stored(result.current.value), "store")
        return result.won

    def parse_stored(self, text: str) -> SeatTable:
        """Decode the table in the store; return the current one if it is invalid.

        The next change by a holder with a table then repairs the store; one without a
        table leaves it alone.
        """
        try:
            return read_seats(text)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            log.error("Seat table in the store is invalid.", extra={"why": str(error)})
            return self.seats.table
