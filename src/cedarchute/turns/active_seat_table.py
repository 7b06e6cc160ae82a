"""Caches the newest seat table known to this box."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarchute.turns.seat_table import EMPTY_TABLE

if TYPE_CHECKING:
    from cedarchute.turns.seat_table import SeatTable

log = logging.getLogger("cedarchute.turns")


class ActiveSeatTable:
    """Current seat table; only replaced by a newer version."""

    def __init__(self) -> None:
        self.table: SeatTable = EMPTY_TABLE

    def update(self, table: SeatTable, source: str) -> bool:
        """Install `table` if it is newer; return whether it was."""
        if table.version <= self.table.version:
            return False
        self.table = table
        log.info(
            "Seat table updated.",
            extra={
                "version": table.version,
                "holders": [seat.box for seat in table.seats],
                "closed": table.closed,
                "source": source,
            },
        )
        return True
