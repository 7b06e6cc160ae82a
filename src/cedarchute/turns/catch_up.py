"""Copies records to the incomplete disk of a seat from the other disks."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from cedarchute.turns.copy_outcome import CopyOutcome
from cedarchute.turns.holder_client import (
    HolderRefusedError,
    HolderUnavailableError,
)

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.disk_location import DiskLocation
    from cedarchute.turns.messages import Refused
    from cedarchute.turns.record_puller import RecordPuller
    from cedarchute.turns.seat import Seat
    from cedarchute.turns.seat_table import SeatTable

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
        self, puller: RecordPuller, seats: ActiveSeatTable, metrics: Metrics
    ) -> None:
        self.puller = puller
        self.seats = seats
        self.metrics = metrics
        self.last_facts: dict[str, object] = {}
        self.started_at: float | None = None

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
        tolerated = count_tolerated(table, number, len(others))
        done = is_enough(CopyOutcome.SILENT, others, tolerated)
        if not done:
            # Asked only if needed: a box that is gone answers only by a timeout.
            own = self.copy_predecessor(table.seats[number], table, number, outcomes)
            done = is_enough(own, others, tolerated)
        if self.seats.table.version != table.version:
            return False
        if done:
            self.puller.storage.sync()
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
        """Copy from one disk, and note the outcome."""
        outcome = self.copy_records(source, table, number)
        outcomes[f"{source.box}/{source.disk}"] = outcome
        return outcome

    def copy_records(
        self, source: DiskLocation, table: SeatTable, number: int
    ) -> CopyOutcome:
        """Copy from one disk what is missing here."""
        try:
            is_complete = self.puller.pull(source, table, number)
        except HolderRefusedError as error:
            return self.read_refusal(source, error.refusal)
        except HolderUnavailableError as error:
            log.info(
                "Copying from another holder failed.",
                extra={"box": source.box, "why": str(error)},
            )
            return CopyOutcome.SILENT
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
            "records": self.puller.copied_records,
            "bytes": self.puller.copied_bytes,
            "seconds": round(time.monotonic() - (self.started_at or 0.0), 3),
        }
        if done:
            log.info("Copy of a seat is complete.", extra=facts | progress)
            self.started_at = None
            return
        self.metrics.count("seats.copies_not_complete")
        if facts != self.last_facts:
            log.warning("Copy of a seat is not complete.", extra=facts | progress)
        self.last_facts = facts


def is_handed_over(seat: Seat) -> bool:
    """Whether the records of a seat are stored elsewhere, and not in the seat yet."""
    return seat.is_released or (seat.is_vacant and seat.is_complete is None)


def count_tolerated(table: SeatTable, number: int, others: int) -> int:
    """Return how many of the other disks need not be read for a seat.

    One less than the losses, since the last complete disk of the seat counts as one of
    them, unless its records were stored at the others. Each program needs a disk that
    is read beside those that were left out.

    Parameters
    ----------
    others : int
        Number of other seats that are not left out.
    """
    left_out = len(table.seats) - 1 - others
    losses = table.losses if table.seats[number].is_released else table.losses - 1
    return min(losses, table.replication_factor - 2 - left_out)


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
        Number of other disks that need not be read.
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
