"""Copies records to the empty disk of a new holder from the other holders."""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import TYPE_CHECKING

from cedarchute.turns.holder_client import (
    HolderRefusedError,
    HolderUnavailableError,
)
from cedarchute.turns.messages import CopiedRecords, CopyRecords

if TYPE_CHECKING:
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.seat_table import Seat, SeatTable
    from cedarchute.turns.turn_storage import TurnStorage

log = logging.getLogger("cedarchute.turns")


class CopyOutcome(StrEnum):
    """Result of copying from another holder."""

    WHOLE = "whole"
    EMPTY = "empty"
    SILENT = "silent"


class CatchUp:
    """Copies the records of a seat from the holders in all other seats.

    Only one holder besides the replaced one may have an acknowledged record, so every
    holder that is not empty itself is read. Each installs the new table before it
    answers, so no write under the old table can be acknowledged afterwards.
    """

    def __init__(
        self, client: HolderClient, storage: TurnStorage, seats: ActiveSeatTable
    ) -> None:
        self.client = client
        self.storage = storage
        self.seats = seats

    def run_once(self, number: int) -> bool:
        """Copy from every other holder; return whether the copy is complete."""
        table = self.seats.table
        others = [
            seat
            for other, seat in enumerate(table.seats)
            if other != number and not seat.is_vacant
        ]
        outcomes = [self.copy_from(seat, table, number) for seat in others]
        if self.seats.table.version != table.version:
            return False
        silent = outcomes.count(CopyOutcome.SILENT)
        empty = outcomes.count(CopyOutcome.EMPTY)
        # This disk counts as one of the tolerated failures. If any holder did not
        # answer, it and the empty ones have to fit into the remaining failures.
        return silent == 0 or silent + empty <= table.losses - 1

    def copy_from(self, seat: Seat, table: SeatTable, number: int) -> CopyOutcome:
        """Copy all pages from one holder."""
        after = ""
        count = 0
        is_complete = True
        while True:
            message = CopyRecords(table, number, after)
            try:
                page = self.client.ask(
                    seat.address, "/turns/copy", message, CopiedRecords
                )
            except HolderRefusedError as error:
                if error.refusal.table is not None:
                    self.seats.update(error.refusal.table, seat.box)
                if error.refusal.is_empty:
                    return CopyOutcome.EMPTY
                return CopyOutcome.SILENT
            except HolderUnavailableError as error:
                log.info(
                    "Copying from another holder failed.",
                    extra={"box": seat.box, "why": str(error)},
                )
                return CopyOutcome.SILENT
            if page.records:
                self.storage.write(list(page.records))
            count += len(page.records)
            is_complete = is_complete and page.is_complete
            after = page.next
            if not after:
                log.info(
                    "Copied records from another holder.",
                    extra={
                        "box": seat.box,
                        "records": count,
                        "is_complete": is_complete,
                    },
                )
                return CopyOutcome.WHOLE if is_complete else CopyOutcome.EMPTY
