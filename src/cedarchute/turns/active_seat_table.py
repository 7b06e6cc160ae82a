"""The newest table of seats that this box has heard of."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarchute.turns.seat_table import EMPTY

if TYPE_CHECKING:
    from cedarchute.turns.seat_table import SeatTable

log = logging.getLogger("cedarchute.turns")


class ActiveSeatTable:
    """Never goes back to an older table."""

    def __init__(self) -> None:
        self.table: SeatTable = EMPTY

    def update(self, table: SeatTable, source: str) -> bool:
        """Take a table over if it is newer; return whether it was."""
        if table.version <= self.table.version:
            return False
        self.table = table
        log.info(
            "Seats changed.",
            extra={
                "version": table.version,
                "holders": [seat.box for seat in table.seats],
                "closed": table.closed,
                "source": source,
            },
        )
        return True
