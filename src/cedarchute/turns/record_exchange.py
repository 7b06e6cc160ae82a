"""Keeps the disks of all seats alike, a moment behind the turns."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.turns.holder_client import HolderUnavailableError

if TYPE_CHECKING:
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.holder import Holder
    from cedarchute.turns.record_puller import RecordPuller
    from cedarchute.turns.seat import Seat

log = logging.getLogger("cedarchute.turns")

# One of the other holders is read at a time, so the cost of this does not grow with
# their number.
PERIOD_SECONDS: Final = 0.5


class RecordExchange:
    """Copies from one other disk after the other what a quorum stored without this one.

    A record is acknowledged by a quorum. The disks outside of it get it here, so that
    little is left to copy in the moment in which a disk is lost.
    """

    def __init__(
        self, puller: RecordPuller, seats: ActiveSeatTable, holder: Holder
    ) -> None:
        self.puller = puller
        self.seats = seats
        self.holder = holder
        self.last_read = -1
        self.failing: set[str] = set()

    def run_forever(self) -> None:
        """Run `step` periodically for the life of the process."""
        while True:
            eventlet.sleep(PERIOD_SECONDS)
            self.step()

    def step(self) -> None:
        """Copy from the next of the other disks."""
        table = self.seats.table
        own = table.find_disk(self.holder.disk)
        if own is None or not table.closed or not self.holder.caught_up:
            return
        others = [n for n in table.list_complete() if n != own]
        if not others:
            return
        number = next((n for n in others if n > self.last_read), others[0])
        self.last_read = number
        self.copy_from(table.seats[number], own)

    def copy_from(self, seat: Seat, own: int) -> None:
        """Copy from one disk; log when it stops or begins to answer."""
        try:
            self.puller.pull(seat.location, self.seats.table, own)
        except (HolderUnavailableError, OSError) as error:
            if seat.box not in self.failing:
                log.info(
                    "Copying from another holder failed.",
                    extra={"box": seat.box, "why": str(error)},
                )
            self.failing.add(seat.box)
            return
        self.failing.discard(seat.box)
