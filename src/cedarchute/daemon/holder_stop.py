"""The planned stop of a holder: it ends once the others can do without it."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.fleet.registration import Registration
    from cedarchute.turns.stop_order import StopOrder

log = logging.getLogger("cedarchute.daemon")

# Boxes hear within this long that a holder leaves, and others answer in its place.
NOTICE_SECONDS: Final = 1.0
# A store that answers takes the entry back within some 10 ms.
END_SECONDS: Final = 0.2
# The process is gone this long before it would be killed.
EXIT_MARGIN_SECONDS: Final = 0.4


class HolderStop:
    """Leaves the directory, answers until others have heard of it, and ends.

    It keeps its place in the directory while it waits for other holders, so that none
    takes its seat.

    The disk keeps everything, so a store that is silent shortens the stop to its grace
    and costs nothing else: the lease runs out by itself.
    """

    def __init__(
        self, registration: Registration, grace_seconds: float, order: StopOrder
    ) -> None:
        self.registration = registration
        self.grace_seconds = grace_seconds
        self.order = order
        self.asked = False
        self.done = Event()

    def ask(self, asked_at: float) -> None:
        """Begin the stop, once; its grace began at `asked_at`."""
        if self.asked:
            return
        self.asked = True
        eventlet.spawn_n(self.run, asked_at)

    def wait(self) -> None:
        """Return when the stop is done."""
        self.done.wait()

    def run(self, started: float) -> None:
        """Carry the stop out."""
        log.info("Planned stop.", extra={"grace_seconds": self.grace_seconds})
        end = started + self.grace_seconds - EXIT_MARGIN_SECONDS - END_SECONDS
        self.order.wait(end - NOTICE_SECONDS - END_SECONDS)
        self.try_until(end - NOTICE_SECONDS, self.registration.leave)
        eventlet.sleep(max(0.0, min(NOTICE_SECONDS, end - time.monotonic())))
        self.try_until(time.monotonic() + END_SECONDS, self.registration.end)
        log.info("Stopped.", extra={"seconds": round(time.monotonic() - started, 3)})
        self.done.send(None)

    def try_until(self, end: float, tell_store: Callable[[], None]) -> None:
        """Tell the store something; go on without its answer at `end`."""
        told = eventlet.spawn(tell_store)
        with eventlet.Timeout(max(0.0, end - time.monotonic()), False):
            told.wait()
            return
        log.info("The store has not answered in time.", extra={"why": "planned stop"})
