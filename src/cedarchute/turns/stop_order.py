"""Lets holders that are asked to stop go one after another."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.messages import AskPresence, Presence, StopPhase

if TYPE_CHECKING:
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.holder import Holder
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.seat_table import SeatTable

log = logging.getLogger("cedarchute.turns")

POLL_SECONDS: Final = 0.1
# Well above the usual latency of a holder; a silent one is asked again at each poll.
ANSWER_TIMEOUT: Final = AnswerTimeout(0.25, 0.25)


class StopOrder:
    """Delays a planned stop while turns would lose their quorum by it.

    Holders that are restarted in series stop faster than they start. Of several that
    wait, the one in the lowest seat goes first.
    """

    def __init__(
        self, client: HolderClient, seats: ActiveSeatTable, holder: Holder
    ) -> None:
        self.client = client
        self.seats = seats
        self.holder = holder

    def wait(self, deadline: float) -> None:
        """Return when this holder may stop, at the latest at a monotonic time."""
        started = time.monotonic()
        self.holder.stop_phase = StopPhase.WAITING
        with eventlet.Timeout(max(0.0, deadline - started), False):
            while not self.may_stop():
                eventlet.sleep(POLL_SECONDS)
        self.holder.stop_phase = StopPhase.STOPPING
        seconds = round(time.monotonic() - started, 3)
        log.info("Turn to stop.", extra={"waited_seconds": seconds})

    def may_stop(self) -> bool:
        """Whether every program has a quorum without this holder."""
        table = self.seats.table
        own = table.find_disk(self.holder.disk)
        if not table.closed or own is None or not self.holder.caught_up:
            return True
        unavailable = sum(
            not self.is_available(table, number, own)
            for number in range(len(table.seats))
            if number != own
        )
        # Where no quorum bears a loss, one holder at a time is the least to lose.
        return unavailable + 1 <= max(1, table.max_vacant)

    def is_available(self, table: SeatTable, number: int, own: int) -> bool:
        """Whether the holder of another seat serves and does not stop before this."""
        seat = table.seats[number]
        if seat.is_vacant:
            return False
        message = AskPresence(table_version=table.version, disk=seat.disk)
        try:
            answer = self.client.ask(
                seat.address, "/turns/presence", message, Presence, ANSWER_TIMEOUT
            )
        except HolderUnavailableError:
            return False
        if answer.stop_phase is StopPhase.WAITING:
            return own < number
        return answer.stop_phase is StopPhase.NONE
