"""Fills the empty disk of a new holder from the other holders."""

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
    """How far another holder was read."""

    WHOLE = "whole"
    EMPTY = "empty"
    SILENT = "silent"


class CatchUp:
    """Reads what a seat has to hold from every other seat.

    A record that a quorum acknowledged may stand on just one holder besides the one
    that was replaced, and nobody knows on which. So every other holder is read, but
    for those that are empty themselves. Who answers takes over the new table first:
    no record that the old holder acknowledged can come after that.
    """

    def __init__(
        self, client: HolderClient, book: TurnStorage, seats: ActiveSeatTable
    ) -> None:
        self.client = client
        self.book = book
        self.seats = seats

    def run_once(self, number: int) -> bool:
        """Read from every other holder; return whether that is all there is."""
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
        # Of the holders whose disks may be lost at once, this one is lost already. Once
        # every other one has answered there is nothing more to be learnt.
        return silent == 0 or silent + empty <= table.losses - 1

    def copy_from(self, seat: Seat, table: SeatTable, number: int) -> CopyOutcome:
        """Read one holder as far as it answers."""
        after = ""
        count = 0
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
                log.info("Not copied.", extra={"box": seat.box, "why": str(error)})
                return CopyOutcome.SILENT
            if page.records:
                self.book.write(list(page.records))
            count += len(page.records)
            after = page.next
            if not after:
                log.info("Copied.", extra={"box": seat.box, "records": count})
                return CopyOutcome.WHOLE
