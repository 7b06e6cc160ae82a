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
# Between two attempts, for each disk that takes part: an attempt reads each of them
# from each other one.
RETRY_SECONDS_PER_DISK: Final = 0.1


class SeatCoverage:
    """Has the complete disks copy from each other what one of them lacks.

    While the disk of a seat is incomplete, its records are on some of the other disks,
    and another loss could take the last copy, or the proof that there is none. Once
    each of the others has all records of its own seat, any of them may be lost, however
    long the copy to the incomplete disk takes. The table then says so.

    Attributes
    ----------
    covered : set of int
        Seats whose holders have answered under the table last seen.
    failures : dict of int to str
        Why others have not.
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
        self.retry_at = 0.0
        self.covered: set[int] = set()
        self.failures: dict[int, str] = {}
        self.is_covering = False
        self.cover_retry_at = 0.0

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
        """Release the seats of incomplete disks, if this holder is to do so."""
        table = self.seats.table
        own = table.find_disk(self.holder.disk)
        complete = table.list_complete()
        if not table.list_unreleased() or own not in complete:
            return
        if self.holder.caught_up:
            self.release_seats(table, complete.index(own))

    def release_seats(self, table: SeatTable, rank: int = 0) -> bool:
        """Have all complete disks cover the others; return whether the table says so.

        Parameters
        ----------
        rank : int
            Number of holders that should do this before this one.
        """
        numbers = table.list_unreleased()
        self.note_version(table, rank)
        if not table.may_release(numbers) or time.monotonic() < self.retry_at:
            return False
        complete = table.list_complete()
        waiting = [n for n in complete if n not in self.covered]
        pool = eventlet.GreenPool()
        answers = list(pool.imap(lambda n: self.ask_to_cover(table, n), waiting))
        if not all(answers) or not self.write_table(table.release_seats(numbers)):
            pause = RETRY_SECONDS_PER_DISK * len(complete) * (1 + rank)
            self.retry_at = time.monotonic() + pause
            return False
        log.info(
            "Seats of incomplete disks are released.",
            extra={
                "seats": numbers,
                "covered_by": [table.seats[n].box for n in complete],
                "seconds": round(time.monotonic() - self.seen_at, 3),
            },
        )
        return True

    def note_version(self, table: SeatTable, rank: int) -> None:
        """Begin anew under another table, after the holders before this one."""
        if table.version == self.seen_version:
            return
        self.seen_version, self.seen_at = table.version, time.monotonic()
        self.retry_at = self.seen_at + rank * TURN_SECONDS
        self.covered.clear()
        self.failures.clear()

    def ask_to_cover(self, table: SeatTable, number: int) -> bool:
        """Ask one holder; return whether it has all records of its seat."""
        seat = table.seats[number]
        message = CoverSeats(table_version=table.version, disk=seat.disk, table=table)
        try:
            self.client.ask(seat.address, "/turns/cover", message, SeatsCovered)
        except HolderUnavailableError as error:
            if self.failures.get(number) != str(error):
                log.info(
                    "Holder does not cover the other seats yet.",
                    extra={"box": seat.box, "why": str(error)},
                )
            self.failures[number] = str(error)
            return False
        if table.version == self.seen_version:
            self.covered.add(number)
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
        if self.is_covering or time.monotonic() < self.cover_retry_at:
            raise HolderError("still copying from the other holders")
        table = self.seats.table
        self.is_covering = True
        try:
            self.copy_from_others(table)
        except HolderError:
            pause = RETRY_SECONDS_PER_DISK * len(table.list_complete())
            self.cover_retry_at = time.monotonic() + pause
            raise
        finally:
            self.is_covering = False
        return SeatsCovered()

    def copy_from_others(self, table: SeatTable) -> None:
        """Copy from all other complete disks; raise `HolderError` on failure."""
        own = table.find_disk(self.holder.disk)
        if own is None:
            raise HolderError("this disk has no seat", table)
        others = [table.seats[n] for n in table.list_complete() if n != own]
        for seat in others:
            try:
                self.puller.pull(seat.location, table, own)
            except HolderUnavailableError as error:
                raise HolderError(f"{seat.box} was not read: {error}") from None
        self.puller.storage.sync()
        if self.seats.table.version != table.version:
            raise HolderError("the table of seats is old", self.seats.table)
