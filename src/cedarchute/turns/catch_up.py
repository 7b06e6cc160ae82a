"""Copies records to the incomplete disk of a seat from the other disks."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from cedarchute.turns.copy_outcome import CopyOutcome
from cedarchute.turns.holder import estimate_bytes
from cedarchute.turns.holder_client import (
    HolderRefusedError,
    HolderUnavailableError,
)
from cedarchute.turns.messages import CopiedRecords, CopyRecords, Refused

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.disk_location import DiskLocation
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.seat import Seat
    from cedarchute.turns.seat_table import SeatTable
    from cedarchute.turns.turn_storage import TurnStorage

log = logging.getLogger("cedarchute.turns")


class CatchUp:
    """Copies the records of a seat from the last complete disks of all seats.

    An acknowledged record is on a quorum of those disks, which are not always the
    ones in the seats: a disk that is away keeps its records while its seat goes to
    another box. So the copy is complete if it was read from the last complete disk
    of this seat, or from so many of the others that each quorum has one of them.
    Each holder installs the new table before it answers, so no write under the old
    table can be acknowledged afterwards.
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
        self.started_at: float | None = None
        self.copied_records = 0
        self.copied_bytes = 0

    def run_once(self, number: int) -> bool:
        """Copy from as many disks as needed; return whether the copy is complete."""
        self.started_at = self.started_at or time.monotonic()
        table = self.seats.table
        # Keyed by disk, for the log.
        outcomes: dict[str, CopyOutcome] = {}
        others = [
            self.copy_seat(seat, table, number, outcomes)
            for other, seat in enumerate(table.seats)
            if other != number and not is_handed_over(seat)
        ]
        is_released = table.seats[number].is_released
        tolerated = table.losses if is_released else table.losses - 1
        done = is_enough(CopyOutcome.SILENT, others, tolerated)
        if not done:
            # Asked only if needed: a box that is gone answers only by a timeout.
            own = self.copy_predecessor(table.seats[number], table, number, outcomes)
            done = is_enough(own, others, tolerated)
        if self.seats.table.version != table.version:
            return False
        self.log_outcomes(table, number, outcomes, done)
        return done

    def copy_seat(
        self,
        seat: Seat,
        table: SeatTable,
        number: int,
        outcomes: dict[str, CopyOutcome],
    ) -> CopyOutcome:
        """Copy from the last complete disk of another seat."""
        if seat.is_vacant:
            return self.copy_predecessor(seat, table, number, outcomes)
        outcome = self.copy_from(seat.location, table, number, outcomes)
        if seat.is_complete is False:
            return self.copy_predecessor(seat, table, number, outcomes)
        if seat.is_complete:
            return as_complete(outcome, if_lost=CopyOutcome.SILENT)
        if outcome is CopyOutcome.PARTIAL:
            return CopyOutcome.EMPTY
        # The box of a lost disk writes its new one into the table first.
        return CopyOutcome.SILENT if outcome is CopyOutcome.LOST else outcome

    def copy_predecessor(
        self,
        seat: Seat,
        table: SeatTable,
        number: int,
        outcomes: dict[str, CopyOutcome],
    ) -> CopyOutcome:
        """Copy from the disk that had a seat before, if it is not lost."""
        if seat.predecessor is None:
            return CopyOutcome.LOST
        outcome = self.copy_from(seat.predecessor, table, number, outcomes)
        return as_complete(outcome, if_lost=CopyOutcome.LOST)

    def copy_from(
        self,
        source: DiskLocation,
        table: SeatTable,
        number: int,
        outcomes: dict[str, CopyOutcome],
    ) -> CopyOutcome:
        """Copy all pages from one disk, and note the outcome."""
        outcome = self.copy_pages(source, table, number)
        outcomes[f"{source.box}/{source.disk}"] = outcome
        return outcome

    def copy_pages(
        self, source: DiskLocation, table: SeatTable, number: int
    ) -> CopyOutcome:
        """Copy all pages from one disk."""
        after = ""
        count = 0
        is_complete = True
        while True:
            message = CopyRecords(table, number, after, source.box, source.disk)
            try:
                page = self.client.ask(
                    source.address, "/turns/copy", message, CopiedRecords
                )
            except HolderRefusedError as error:
                return self.read_refusal(source, error.refusal)
            except HolderUnavailableError as error:
                log.info(
                    "Copying from another holder failed.",
                    extra={"box": source.box, "why": str(error)},
                )
                return CopyOutcome.SILENT
            if page.records:
                self.storage.write(list(page.records))
            count += len(page.records)
            self.copied_records += len(page.records)
            self.copied_bytes += sum(map(estimate_bytes, page.records))
            is_complete = is_complete and page.is_complete
            after = page.next
            if not after:
                log.info(
                    "Copied records from another holder.",
                    extra={
                        "box": source.box,
                        "records": count,
                        "is_complete": is_complete,
                    },
                )
                return CopyOutcome.WHOLE if is_complete else CopyOutcome.PARTIAL

    def read_refusal(self, source: DiskLocation, refusal: Refused) -> CopyOutcome:
        """Return what a refusal means, and install a newer table."""
        if refusal.table is not None:
            self.seats.update(refusal.table, source.box)
        log.info(
            "Copying from another holder failed.",
            extra={"box": source.box, "why": refusal.reason},
        )
        if refusal.is_disk_lost:
            return CopyOutcome.LOST
        return CopyOutcome.EMPTY if refusal.is_empty else CopyOutcome.SILENT

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
        progress = {
            "records": self.copied_records,
            "bytes": self.copied_bytes,
            "seconds": round(time.monotonic() - (self.started_at or 0.0), 3),
        }
        if done:
            log.info("Copy of a seat is complete.", extra=facts | progress)
            self.started_at = None
            self.copied_records = self.copied_bytes = 0
            return
        self.metrics.count("seats.copies_not_complete")
        if facts != self.last_facts:
            log.warning("Copy of a seat is not complete.", extra=facts | progress)
        self.last_facts = facts


def is_handed_over(seat: Seat) -> bool:
    """Whether the records of a seat are stored elsewhere, and not in the seat yet."""
    return seat.is_released or (seat.is_vacant and seat.is_complete is None)


def as_complete(outcome: CopyOutcome, if_lost: CopyOutcome) -> CopyOutcome:
    """Return the outcome for a disk that the table says has all records.

    The table overrides a holder that says it lacks some: it has not seen that table
    yet, or has another seat by now.
    """
    if outcome in (CopyOutcome.WHOLE, CopyOutcome.PARTIAL):
        return CopyOutcome.WHOLE
    return if_lost if outcome is CopyOutcome.LOST else CopyOutcome.SILENT


def is_enough(own: CopyOutcome, others: list[CopyOutcome], tolerated: int) -> bool:
    """Whether a copy has every acknowledged record of its seat.

    Parameters
    ----------
    own : CopyOutcome
        What the last complete disk of the seat itself gave.
    others : list of CopyOutcome
        What those of the other seats gave.
    tolerated : int
        Number of other disks that need not be read: one less than the failures to
        tolerate, since the last complete disk of this seat counts as one of them,
        unless its records were stored at the others.
    """
    if own is CopyOutcome.WHOLE:
        return True
    silent = others.count(CopyOutcome.SILENT)
    whole = others.count(CopyOutcome.WHOLE)
    if len(others) - whole <= tolerated:
        return True
    # After more losses than are tolerated, nothing else can be had once every disk
    # that exists was read.
    return silent == 0 and own is not CopyOutcome.SILENT
