"""Acquires a seat for this holder, starts catch-up, and releases the seat again."""

from __future__ import annotations

import logging
import time
import zlib
from typing import TYPE_CHECKING, Final

import eventlet
import msgspec

from cedarchute.fleet.box_entry import Role
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.turns.holder import HolderError
from cedarchute.turns.seat_table import EMPTY_TABLE, SeatTable
from cedarchute.turns.seat_table_writer import SeatTableWriter

if TYPE_CHECKING:
    from collections.abc import Collection
    from pathlib import Path

    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.platform.retirements import Retirements
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.turns.absent_holders import AbsentHolders
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.catch_up import CatchUp
    from cedarchute.turns.disk_identity import DiskIdentity
    from cedarchute.turns.holder import Holder
    from cedarchute.turns.seat import Seat
    from cedarchute.turns.seat_coverage import SeatCoverage

log = logging.getLogger("cedarchute.turns")

POLL_SECONDS: Final = 0.25
# Used after a step that changed the table, and by a restarted holder with a complete
# disk until it serves again.
FAST_POLL_SECONDS: Final = 0.02
# How long holders of a new system can add seats; later ones wait for a free seat. All
# holders of a new system start within a second.
JOIN_SECONDS: Final = 3.0
# Extra wait for more holders if there are fewer than ``2 * losses + 1``; nothing is
# served until then, and callers come some 12 s after the boxes.
UNDERSIZED_EXTRA_SECONDS: Final = 3.0
# Spreads the table writes of the holders of a new system, which would otherwise
# conflict with each other.
JITTER_SECONDS: Final = 1.0
# How long a retiring holder waits for a spare to take over its seat.
SUCCESSOR_WAIT_SECONDS: Final = 2.0


class SeatManager:
    """Manages the seat of this holder; conflicts are resolved by compare-and-swap."""

    def __init__(
        self,
        store: StoreClient,
        seats: ActiveSeatTable,
        holder: Holder,
        identity: DiskIdentity,
        folder: Path,
        own_seat: Seat,
        losses: int,
        catch_up: CatchUp,
        directory: BoxDirectory,
        retirements: Retirements,
        coverage: SeatCoverage,
        absent_holders: AbsentHolders,
    ) -> None:
        self.write_table = SeatTableWriter(store, seats).write
        self.seats = seats
        self.holder = holder
        self.identity = identity
        self.folder = folder
        self.own_seat = own_seat
        self.losses = losses
        self.catch_up = catch_up
        self.directory = directory
        self.retirements = retirements
        self.coverage = coverage
        self.absent_holders = absent_holders
        self.join_at = 0.0
        self.opened_at: float | None = None
        self.retiring_since: float | None = None
        self.retired = False
        self.has_warned = False

    def run_forever(self) -> None:
        """Run `step` periodically for the life of the process."""
        share = zlib.crc32(self.own_seat.box.encode()) / 2**32
        self.join_at = time.monotonic() + share * JITTER_SECONDS
        while True:
            version = self.seats.table.version
            started = time.monotonic()
            try:
                self.step()
            except StoreUnavailableError as error:
                log.info(
                    "Store unavailable; seat not changed.",
                    extra={"why": str(error)},
                )
            is_changed = self.seats.table.version != version
            polls_fast = is_changed or self.is_starting()
            # The time that silent holders have taken counts as well.
            left = POLL_SECONDS - (time.monotonic() - started)
            eventlet.sleep(FAST_POLL_SECONDS if polls_fast else max(0.0, left))

    def is_starting(self) -> bool:
        """Whether this holder has a seat and only has to read the table to serve."""
        if self.holder.caught_up or not self.identity.complete:
            return False
        table = self.seats.table
        return table.version == 0 or table.find_disk(self.own_seat.disk) is not None

    def step(self) -> None:
        """Run the next transition of this holder, if any."""
        is_retiring = self.own_seat.box in self.retirements.asked
        if is_retiring:
            self.retire(self.seats.table)
        else:
            self.retired = False
            self.retiring_since = None
        table = self.seats.table
        number = table.find_disk(self.own_seat.disk)
        if number is None:
            self.acquire_seat(table, is_retiring)
        elif not table.closed:
            self.close_table(table)
        elif not self.holder.caught_up and self.holder.may_use(table):
            self.catch_up_and_serve(table, number)

    def catch_up_and_serve(self, table: SeatTable, number: int) -> None:
        """Catch up unless the disk is complete, then start to serve requests.

        The table says that the disk is complete before any record is acknowledged by
        it, so whoever replaces another seat knows whether to wait for this disk.
        """
        started = time.monotonic()
        is_complete = table.seats[number].is_complete
        if is_complete is None and self.identity.complete:
            self.serve(number, started)
            self.write_table(table.complete_seat(number))
            return
        if is_complete is None:
            log.info("Table of seats does not say that this disk is incomplete.")
            self.write_table(table.mark_incomplete(number))
            return
        if not is_complete:
            if not self.catch_up.run_once(number):
                return
            if not self.write_table(table.complete_seat(number)):
                return
        self.serve(number, started)

    def serve(self, number: int, started: float) -> None:
        """Start to serve requests with a disk that is complete."""
        if not self.identity.complete:
            self.identity = self.identity.mark_complete(self.folder)
            seconds = round(time.monotonic() - started, 3)
            log.info("Caught up.", extra={"seat": number, "seconds": seconds})
        self.holder.is_disk_complete = True
        self.holder.caught_up = True

    def acquire_seat(self, table: SeatTable, is_retiring: bool) -> None:
        """Reclaim the seat of this box, add a new seat, or take a free one."""
        number = table.find_box(self.own_seat.box)
        if is_retiring and number is None:
            return
        if not table.closed and time.monotonic() < self.join_at:
            return
        if table.version == 0:
            empty = msgspec.structs.replace(EMPTY_TABLE, losses=self.losses)
            self.write_table(empty.add_seat(self.own_seat))
            return
        if number is None and not table.closed:
            self.write_table(table.add_seat(self.own_seat))
            return
        if not table.closed:
            self.write_table(table.replace_seat(number, self.own_seat))
            return
        if number is None:
            number = self.find_free_seat(table)
        if number is not None and self.require_catch_up():
            self.write_table(table.take_seat(number, self.own_seat))

    def require_catch_up(self) -> bool:
        """Mark the disk incomplete: it got no records while it had no seat.

        Returns whether this and the version of the table are durable.
        """
        self.holder.caught_up = False
        self.holder.is_disk_complete = False
        if self.identity.complete:
            self.identity = self.identity.mark_incomplete(self.folder)
            log.info("Disk without a seat has to catch up.")
        return self.store_table_version()

    def store_table_version(self) -> bool:
        """Store that this disk has no seat, which an older table would give back to it.

        Returns whether that is durable.
        """
        try:
            self.holder.persist_table_version()
        except HolderError as error:
            log.warning(
                "Version of the seat table not stored.", extra={"why": error.reason}
            )
            return False
        return True

    def close_table(self, table: SeatTable) -> None:
        """Make the number of seats final after the time to join has passed."""
        self.opened_at = self.opened_at or time.monotonic()
        is_first = table.seats[0].disk == self.own_seat.disk
        open_seconds = JOIN_SECONDS + (0.0 if is_first else JITTER_SECONDS)
        enough = len(table.seats) >= 2 * self.losses + 1
        if not enough and self.may_run_undersized(table):
            enough = True
            open_seconds += UNDERSIZED_EXTRA_SECONDS
        if not enough or time.monotonic() - self.opened_at <= open_seconds:
            return
        gone = self.absent_holders.list_silent(table) - {self.own_seat.box}
        # With more of them this box is cut off from the others.
        closed = table.close(gone if len(gone) <= table.losses else ())
        left_out = sorted(gone - {seat.box for seat in closed.seats})
        facts = {
            "seats": len(closed.seats),
            "losses": self.losses,
            "left_out": left_out,
        }
        log.info("Number of seats is final.", extra=facts)
        self.write_table(closed)

    def may_run_undersized(self, table: SeatTable) -> bool:
        """Whether a smaller set of holders is durable and no other holder can join.

        With more holders than tolerated failures no record is lost, though turns may
        be unavailable during failures.
        """
        return len(table.seats) > self.losses and not self.has_spare_holder(table)

    def find_free_seat(self, table: SeatTable) -> int | None:
        """Return a seat whose holder is gone, or that is vacant or about to be.

        A holder that is gone comes first: while it has its seat its disk counts as one
        to be read, and to be lost. While this disk is the last complete one of a seat
        it may take no other: its loss would be that of two disks.
        """
        needing = table.find_needing(self.own_seat.disk)
        if needing:
            number = self.find_vacant_seat(table, needing)
            if number is None:
                number = self.absent_holders.find_gone(table, needing)
            return number
        every = range(len(table.seats))
        number = self.absent_holders.find_gone(table, every)
        if number is None and not self.absent_holders.may_be_gone(table):
            number = self.find_vacant_seat(table, every)
        return number

    def find_vacant_seat(self, table: SeatTable, among: Collection[int]) -> int | None:
        """Return one of some seats that is vacant or whose holder is retiring."""
        for number in among:
            seat = table.seats[number]
            if seat.is_vacant:
                return number
            is_retiring = seat.box in self.retirements.asked
            if is_retiring and table.can_vacate(number, self.list_present()):
                return number
        return None

    def retire(self, table: SeatTable) -> None:
        """Vacate the seat, and leave once the other holders have all its records."""
        if self.retired:
            return
        self.retirements.tell_started(self.own_seat.box)
        number = table.find_box(self.own_seat.box)
        if number is None:
            self.leave(table)
            return
        if not table.can_vacate(number, self.list_present()):
            self.warn_once(table)
            return
        self.retiring_since = self.retiring_since or time.monotonic()
        waited = time.monotonic() - self.retiring_since
        if waited > SUCCESSOR_WAIT_SECONDS or not self.has_spare_holder(table):
            self.write_table(table.vacate_seat(number, self.own_seat.disk))

    def leave(self, table: SeatTable) -> None:
        """Tell that this disk may go, once no seat needs it any more."""
        if not self.store_table_version():
            return
        if table.find_needing(self.own_seat.disk):
            self.coverage.release_seats(table)
            return
        self.retired = True
        self.retirements.tell_completed(self.own_seat.box)

    def warn_once(self, table: SeatTable) -> None:
        """Log that this holder keeps its seat until others can do without it."""
        if not self.has_warned:
            self.has_warned = True
            log.warning(
                "Seat kept until another holder joins.",
                extra={"seats_version": table.version},
            )

    def has_spare_holder(self, table: SeatTable) -> bool:
        """Whether a holder without a seat is available to take one over."""
        return any(
            table.find_box(name) is None and name not in self.retirements.asked
            for name in self.list_present()
        )

    def list_present(self) -> set[str]:
        """Return the names of the holders that are up."""
        return {box.name for box in self.directory.list_boxes(Role.HOLDER)}
