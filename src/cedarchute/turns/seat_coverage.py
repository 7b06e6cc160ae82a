"""Makes the disks that are left enough, as soon as another one is lost."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.turns.copy_messages import CoverSeats, SeatsCovered
from cedarchute.turns.holder import HolderError
from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.seat_table_writer import SeatTableWriter

if TYPE_CHECKING:
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.holder import Holder
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.record_puller import RecordPuller
    from cedarchute.turns.seat_table import SeatTable

log = logging.getLogger("cedarchute.turns")

POLL_SECONDS: Final = 0.1
# Each further holder waits this much longer, so that one of them does the work.
TURN_SECONDS: Final = 0.3


class SeatCoverage:
    """Has the complete disks copy from each other what one of them lacks.

    While the disk of a seat is incomplete, its records are on some of the other disks,
    and another loss could take the last copy, or the proof that there is none. Once
    each of the others has all records of its own seat, any of them may be lost, however
    long the copy to the incomplete disk takes. The table then says so.
    """

    def __init__(
        self,
        client: HolderClient,
        store: StoreClient,
        seats: ActiveSeatTable,
        holder: Holder,
        puller: RecordPuller,
    ) -> None:
        self.client = client
        self.write_table = SeatTableWriter(store, seats).write
        self.seats = seats
        self.holder = holder
        self.puller = puller
        self.seen_version = 0
        self.seen_at = 0.0

    def run_forever(self) -> None:
        """Run `step` periodically for the life of the process."""
        while True:
            eventlet.sleep(POLL_SECONDS)
            try:
                self.step()
            except StoreUnavailableError as error:
                log.info(
                    "Store unavailable; seats not released.",
                    extra={"why": str(error)},
                )

    def step(self) -> None:
        """Release the seats of incomplete disks when it is the turn of this holder."""
        table = self.seats.table
        if not table.list_unreleased() or not self.is_turn(table):
            return
        self.release_seats(table)

    def is_turn(self, table: SeatTable) -> bool:
        """Whether the holders before this one have had their time."""
        now = time.monotonic()
        if table.version != self.seen_version:
            self.seen_version, self.seen_at = table.version, now
        own = table.find_disk(self.holder.disk)
        complete = table.list_complete()
        if own not in complete or not self.holder.caught_up:
            return False
        return now - self.seen_at >= complete.index(own) * TURN_SECONDS

    def release_seats(self, table: SeatTable) -> bool:
        """Have all complete disks cover the others; return whether they do."""
        numbers = table.list_unreleased()
        if not table.may_release(numbers):
            return False
        started = time.monotonic()
        pool = eventlet.GreenPool()
        complete = table.list_complete()
        answers = pool.imap(lambda n: self.ask_to_cover(table, n), complete)
        if not all(list(answers)) or not self.write_table(table.release_seats(numbers)):
            return False
        log.info(
            "Seats of incomplete disks are released.",
            extra={
                "seats": numbers,
                "covered_by": [table.seats[n].box for n in complete],
                "seconds": round(time.monotonic() - started, 3),
            },
        )
        return True

    def ask_to_cover(self, table: SeatTable, number: int) -> bool:
        """Ask one holder; return whether it has all records of its seat."""
        seat = table.seats[number]
        message = CoverSeats(table_version=table.version, disk=seat.disk, table=table)
        try:
            self.client.ask(seat.address, "/turns/cover", message, SeatsCovered)
        except HolderUnavailableError as error:
            log.info(
                "Holder does not cover the other seats yet.",
                extra={"box": seat.box, "why": str(error)},
            )
            return False
        return True

    def cover(self, message: CoverSeats) -> SeatsCovered:
        """Copy what this disk lacks from all other complete disks.

        Raises
        ------
        HolderError
            If one of them cannot be read, or the table changes meanwhile.
        """
        self.seats.update(message.table, "holder")
        self.holder.check_addressee(message)
        table = self.seats.table
        own = table.find_disk(self.holder.disk)
        if own is None:
            raise HolderError("this disk has no seat", table)
        for number in table.list_complete():
            if number != own:
                self.copy_from(table, number, own)
        self.puller.storage.sync()
        if self.seats.table.version != table.version:
            raise HolderError("the table of seats is old", self.seats.table)
        return SeatsCovered()

    def copy_from(self, table: SeatTable, number: int, own: int) -> None:
        """Copy what this disk lacks from one other; raise `HolderError` on failure."""
        seat = table.seats[number]
        try:
            self.puller.pull(seat.location, table, own)
        except HolderUnavailableError as error:
            raise HolderError(f"{seat.box} was not read: {error}") from None
