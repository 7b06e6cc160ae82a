"""Takes a seat for this holder, fills its disk, and gives the seat up again."""

from __future__ import annotations

import logging
import time
import zlib
from typing import TYPE_CHECKING, Final

import eventlet
import msgspec

from cedarchute.fleet.box_entry import Role
from cedarchute.fleet.followers import SEATS_KEY, read_seats
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.turns.holder_client import (
    HolderRefusedError,
    HolderUnavailableError,
)
from cedarchute.turns.messages import Account, ReadAccount
from cedarchute.turns.seat_table import EMPTY, Seat, SeatTable

if TYPE_CHECKING:
    from pathlib import Path

    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.platform.retirements import Retirements
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.catch_up import CatchUp
    from cedarchute.turns.disk_identity import DiskIdentity
    from cedarchute.turns.evacuation import Evacuation
    from cedarchute.turns.holder import Holder
    from cedarchute.turns.holder_client import HolderClient

log = logging.getLogger("cedarchute.turns")

STEP_SECONDS: Final = 0.25
# A holder that restarts with a complete disk answers as soon as it knows the table.
START_STEP_SECONDS: Final = 0.02
# All holders of a new system start within a second; whoever comes later than this
# after the first waits for a seat that comes free.
OPEN_SECONDS: Final = 3.0
# With fewer holders than twice the losses and one, others are waited for this much
# longer; nothing is served until then, and callers come some 12 s after the boxes.
FEW_SECONDS: Final = 3.0
# Holders of a new system take their seats spread over this long, and one of them closes
# the table: all at once, they would lose each other's writes again and again.
SPREAD_SECONDS: Final = 1.0
# A box whose entry is gone for this long, while the store is sound, is not restarting.
ABSENT_SECONDS: Final = 2.5

# A holder that is to be emptied waits this long for a spare to take its seat.
SUCCESSOR_SECONDS: Final = 2.0


class SeatManager:
    """Decides about this holder's seat only; the store decides between holders."""

    def __init__(
        self,
        store: StoreClient,
        seats: ActiveSeatTable,
        holder: Holder,
        identity: DiskIdentity,
        folder: Path,
        me: Seat,
        losses: int,
        catch_up: CatchUp,
        directory: BoxDirectory,
        retirements: Retirements,
        evacuation: Evacuation,
        client: HolderClient,
    ) -> None:
        self.store = store
        self.seats = seats
        self.holder = holder
        self.identity = identity
        self.folder = folder
        self.me = me
        self.losses = losses
        self.catch_up = catch_up
        self.directory = directory
        self.retirements = retirements
        self.evacuation = evacuation
        self.client = client
        self.take_at = 0.0
        self.absent_since: dict[str, float] = {}
        self.opened_at: float | None = None
        self.retiring_since: float | None = None
        self.retired = False
        self.told_kept = False

    def run_forever(self) -> None:
        """Look after the seat for the life of the process."""
        share = zlib.crc32(self.me.box.encode()) / 2**32
        self.take_at = time.monotonic() + share * SPREAD_SECONDS
        while True:
            try:
                self.step()
            except StoreUnavailableError as error:
                log.info("Seat not changed.", extra={"why": str(error)})
            ready = self.holder.caught_up or not self.identity.complete
            eventlet.sleep(STEP_SECONDS if ready else START_STEP_SECONDS)

    def step(self) -> None:
        """Do what is next for this holder."""
        table = self.seats.table
        if self.me.box in self.retirements.asked:
            self.retire(table)
            return
        number = table.find_disk(self.me.disk)
        if number is None:
            self.take_seat(table)
        elif not table.closed:
            self.close_table(table)
        elif not self.holder.caught_up:
            self.fill(number)

    def fill(self, number: int) -> None:
        """Catch up, and answer from then on."""
        if not self.identity.complete:
            started = time.monotonic()
            if not self.catch_up.run_once(number):
                return
            self.identity = self.identity.mark_complete(self.folder)
            seconds = round(time.monotonic() - started, 3)
            log.info("Caught up.", extra={"seat": number, "seconds": seconds})
        self.holder.caught_up = True

    def take_seat(self, table: SeatTable) -> None:
        """Take the own seat with a new disk, a new seat, or one that is free."""
        if not table.closed and time.monotonic() < self.take_at:
            return
        if table.version == 0:
            empty = msgspec.structs.replace(EMPTY, losses=self.losses)
            self.change(empty.add_seat(self.me))
            return
        number = table.find_box(self.me.box)
        if number is not None:
            self.change(table.replace_seat(number, self.me))
        elif not table.closed:
            self.change(table.add_seat(self.me))
        else:
            number = self.find_free(table)
            if number is not None:
                self.change(table.replace_seat(number, self.me))

    def close_table(self, table: SeatTable) -> None:
        """Make the number of seats final once every holder had time to take one."""
        self.opened_at = self.opened_at or time.monotonic()
        is_first = table.seats[0].disk == self.me.disk
        open_seconds = OPEN_SECONDS + (0.0 if is_first else SPREAD_SECONDS)
        enough = len(table.seats) >= 2 * self.losses + 1
        if not enough and self.may_do_with_few(table):
            enough = True
            open_seconds += FEW_SECONDS
        if not enough or time.monotonic() - self.opened_at <= open_seconds:
            return
        facts = {"seats": len(table.seats), "losses": self.losses}
        log.info("Number of seats is final.", extra=facts)
        self.change(table.close())

    def may_do_with_few(self, table: SeatTable) -> bool:
        """Whether the seats keep what they are given, though losses may stop turns.

        A record then stands at more holders than may be lost at once. Without any
        holder that has yet to take its seat nothing better is to be waited for.
        """
        return len(table.seats) > self.losses and not self.has_spare(table)

    def find_free(self, table: SeatTable) -> int | None:
        """Return a seat that is vacant, being emptied, or whose holder is gone.

        An entry may be gone because its writes are lost on the way to the store, so
        its holder is asked before its seat is taken. Of several that are gone the
        first that went is taken.
        """
        for number, seat in enumerate(table.seats):
            if seat.is_vacant or seat.box in self.retirements.asked:
                return number
        self.note_absent(table)
        now = time.monotonic()
        for box, since in sorted(self.absent_since.items(), key=lambda item: item[1]):
            number = table.find_box(box)
            if now - since < ABSENT_SECONDS or number is None:
                continue
            if self.is_silent(table.seats[number]):
                return number
            self.absent_since[box] = now
        return None

    def note_absent(self, table: SeatTable) -> None:
        """Keep since when each holder of a seat has had no entry."""
        present = {box.name for box in self.directory.list_boxes(Role.HOLDER)}
        seated = {seat.box for seat in table.seats}
        now = time.monotonic()
        for box in list(self.absent_since):
            if box in present or box not in seated:
                del self.absent_since[box]
        for box in seated - present:
            self.absent_since.setdefault(box, now)

    def is_silent(self, seat: Seat) -> bool:
        """Ask a holder whether it is there; any answer counts."""
        message = ReadAccount(table_version=0, disk=seat.disk, program="")
        try:
            self.client.ask(seat.address, "/turns/account", message, Account)
        except HolderRefusedError:
            return False
        except HolderUnavailableError as error:
            log.info("Holder is gone.", extra={"box": seat.box, "why": str(error)})
            return True
        return False

    def change(self, table: SeatTable) -> None:
        """Write the next table; whoever was faster wins, and is read instead."""
        current = self.store.get(SEATS_KEY)
        if current is not None:
            stored = self.read_stored(current.value)
            if stored.version == 0:
                return
            if stored.version != table.version - 1:
                self.seats.update(stored, "store")
                return
        elif table.version != 1:
            return
        text = msgspec.json.encode(table).decode()
        result = self.store.swap(SEATS_KEY, text, current.version if current else 0)
        if result.won:
            self.seats.update(table, "own change")
        elif result.current is not None:
            self.seats.update(self.read_stored(result.current.value), "store")

    def read_stored(self, text: str) -> SeatTable:
        """Return the table in the store; the one in force where that is none.

        Another writer may have put anything there: the next change of a holder that
        knows the seats puts them back. One that knows none leaves them alone.
        """
        try:
            return read_seats(text)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            log.error("Table of seats in the store is none.", extra={"why": str(error)})
            return self.seats.table

    def retire(self, table: SeatTable) -> None:
        """Give the seat up; the box is empty once all it had stands elsewhere."""
        if self.retired:
            return
        self.retirements.tell_started(self.me.box)
        number = table.find_box(self.me.box)
        if number is None:
            self.retired = self.evacuation.run_once()
            if self.retired:
                self.retirements.tell_completed(self.me.box)
            return
        if not self.can_spare_seat(table):
            return
        self.retiring_since = self.retiring_since or time.monotonic()
        waited = time.monotonic() - self.retiring_since
        if waited > SUCCESSOR_SECONDS or not self.has_spare(table):
            self.change(table.replace_seat(number, Seat()))

    def can_spare_seat(self, table: SeatTable) -> bool:
        """Whether every program still has a quorum with one more seat vacant.

        Until a spare takes a seat, this holder goes on answering and is not emptied.
        """
        vacant = sum(seat.is_vacant for seat in table.seats)
        can_spare = vacant + 1 <= table.most_vacant
        if not can_spare and not self.told_kept:
            self.told_kept = True
            log.warning(
                "Seat kept until another holder comes.", extra={"vacant": vacant}
            )
        return can_spare

    def has_spare(self, table: SeatTable) -> bool:
        """Whether a holder without a seat is there to take one over."""
        spares = (box.name for box in self.directory.list_boxes(Role.HOLDER))
        return any(
            table.find_box(name) is None and name not in self.retirements.asked
            for name in spares
        )
