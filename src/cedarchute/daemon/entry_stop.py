"""The planned stop of an entry box: each request in progress is answered."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event

if TYPE_CHECKING:
    from cedarchute.calls.shutdown_deadline import ShutdownDeadline
    from cedarchute.fleet.registration import Registration
    from cedarchute.relay.caller_server import CallerServer

log = logging.getLogger("cedarchute.daemon")

# Some callers keep an answer three times as long as it says, so connections are taken
# until this much of the grace is left: enough for what came in last.
LAST_CALLS_SECONDS: Final = 1.6
# The process is gone this long before it would be killed.
EXIT_MARGIN_SECONDS: Final = 0.4
# Enough to write a response to each call that is still in progress.
ANSWER_MARGIN_SECONDS: Final = 0.2
# A store that answers takes the entry back within some 10 ms; one that is silent must
# not hold the process up until it is killed, and the lease runs out by itself.
END_SECONDS: Final = 0.2
STEP_SECONDS: Final = 0.1


class EntryStop:
    """Not ready at once, then no new connections, no idle ones, and the end."""

    def __init__(
        self,
        server: CallerServer,
        registration: Registration,
        deadline: ShutdownDeadline,
        grace_seconds: float,
    ) -> None:
        self.server = server
        self.deadline = deadline
        self.registration = registration
        self.grace_seconds = grace_seconds
        self.asked = False
        self.done = Event()

    def ask(self, asked_at: float | None = None) -> None:
        """Begin the stop, once; its grace began at `asked_at`, or begins now."""
        if self.asked:
            return
        self.asked = True
        eventlet.spawn_n(self.run, time.monotonic() if asked_at is None else asked_at)

    def wait(self) -> None:
        """Return when the stop is done."""
        self.done.wait()

    def run(self, started: float) -> None:
        """Carry the stop out."""
        log.info("Planned stop.", extra={"grace_seconds": self.grace_seconds})
        end = started + self.grace_seconds - EXIT_MARGIN_SECONDS
        self.deadline.begin(started, end - ANSWER_MARGIN_SECONDS)
        self.server.begin_closing()
        eventlet.spawn_n(self.registration.leave)
        last_calls = started + max(0.0, self.grace_seconds - LAST_CALLS_SECONDS)
        while time.monotonic() < last_calls:
            eventlet.sleep(STEP_SECONDS)
        self.server.stop_accepting()
        self.finish_requests(end - ANSWER_MARGIN_SECONDS)
        interrupted = self.server.interrupt_requests()
        self.finish_requests(end)
        cut = self.server.interrupt_requests(include_started=True)
        self.end_registration()
        log.info(
            "Stopped.",
            extra={
                "seconds": round(time.monotonic() - started, 3),
                "interrupted": interrupted,
                "cut": cut,
                "connections": len(self.server.connections),
            },
        )
        self.done.send(None)

    def finish_requests(self, end: float) -> None:
        """Close connections as they become idle, until all are or until `end`.

        Idle connections stay open before: callers learn from the next response that
        theirs closes, whereas a close may cross a request.
        """
        self.server.close_idle()
        while self.server.is_busy and time.monotonic() < end:
            eventlet.sleep(STEP_SECONDS)
            self.server.close_idle()

    def end_registration(self) -> None:
        """Take this box's entry back, if the store answers in time."""
        ended = eventlet.spawn(self.registration.end)
        with eventlet.Timeout(END_SECONDS, False):
            ended.wait()
            return
        log.info("The lease runs out by itself.", extra={"why": "store is silent"})
