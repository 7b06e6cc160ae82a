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
    from cedarchute.metrics import Metrics
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
        self,
        client: HolderClient,
        storage: TurnStorage,
        seats: ActiveSeatTable,
        metrics: Metrics,
    ) -> None:
        self.client = client
        self.storage = storage
        self.seats = seats
        self.metrics = metrics
        self.last_facts: dict[str, object] = {}

    def run_once(self, number: int) -> bool:
        """Copy from every other holder; return whether the copy is complete."""
        table = self.seats.table
        others = [
            seat
            for other, seat in enumerate(table.seats)
            if other != number and not seat.is_vacant
        ]
        outcomes = {
            f"{seat.box}/{seat.disk}": self.copy_from(seat, table, number)
            for seat in others
        }
        if self.seats.table.version != table.version:
            return False
        silent = sum(o is CopyOutcome.SILENT for o in outcomes.values())
        empty = sum(o is CopyOutcome.EMPTY for o in outcomes.values())
        # This disk counts as one of the tolerated failures. If any holder did not
        # answer, it and the empty ones have to fit into the remaining failures.
        done = silent == 0 or silent + empty <= table.losses - 1
        self.log_outcomes(table, number, outcomes, done)
        return done

    def log_outcomes(
        self,
        table: SeatTable,
        number: int,
        outcomes: dict[str, CopyOutcome],
        done: bool,
    ) -> None:
        """Log which disks were read, unless nothing changed since the last attempt."""
        facts = {
            "seat": number,
            "seats_version": table.version,
            **{
                str(outcome): [disk for disk, o in outcomes.items() if o is outcome]
                for outcome in CopyOutcome
            },
        }
        if done:
            log.info("Copy of a seat is complete.", extra=facts)
            return
        self.metrics.count("seats.copies_not_complete")
        if facts != self.last_facts:
            log.warning("Copy of a seat is not complete.", extra=facts)
        self.last_facts = facts

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
