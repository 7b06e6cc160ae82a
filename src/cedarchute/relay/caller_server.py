"""Accepts caller connections and closes them in a graceful shutdown."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.greenio import GreenSocket

from cedarchute.pressure.acceptor import Acceptor
from cedarchute.pressure.connection_limit import ConnectionLimit
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.relay.caller_connection import CallerConnection
from cedarchute.relay.unread_input import has_unread_input

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.pressure.held_bytes import HeldBytes
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.input_limits import InputLimits
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.relay.request_error import RequestError

log = logging.getLogger("cedarchute.relay")

LISTENER_NAME: Final = "callers"
# More than any listener of this box queues.
MAX_QUEUED_CONNECTIONS: Final = 4096


class CallerServer:
    """Tracks the open caller connections and holds their shared settings."""

    def __init__(
        self,
        listener: socket.socket,
        handle: Callable[[CallerRequest, ReplyWriter], None],
        limits: Callable[[], InputLimits],
        metrics: Metrics,
        held: HeldBytes = UNBOUNDED,
        find_max_connections: Callable[[], int] = lambda: MAX_QUEUED_CONNECTIONS,
    ) -> None:
        self.held = held
        self.listener = listener
        self.handle = handle
        self.limits = limits
        self.metrics = metrics
        self.connections: set[CallerConnection] = set()
        self.closing = False
        limit = ConnectionLimit(
            LISTENER_NAME, self.connections, find_max_connections, metrics
        )
        self.acceptor = Acceptor(listener, limit, self.start_connection, metrics)

    def serve_forever(self) -> None:
        """Accept connections until the listener is closed."""
        self.acceptor.accept_forever()

    def start_connection(
        self, sock: socket.socket, address: tuple[str, int] | None = None
    ) -> None:
        """Serve one connection in a task of its own; it counts from now on."""
        del address
        connection = CallerConnection(sock, self, self.held)
        self.connections.add(connection)
        eventlet.spawn_n(self.serve, connection)

    def serve(self, connection: CallerConnection) -> None:
        """Serve one connection until it is closed."""
        try:
            connection.run()
        finally:
            self.connections.discard(connection)

    def must_close(self) -> bool:
        """Return whether connections are closed after their next response."""
        return self.closing

    def record_bad_request(self, error: RequestError) -> None:
        """Count and log an invalid request."""
        self.metrics.count_refusal(f"input_{error.status}")
        log.info(
            "Rejected an invalid request.",
            extra={"status": error.status, "why": error.reason},
        )

    def record_slow_caller(self, connection: CallerConnection) -> None:
        """Count and log that a caller who reads nothing is ended to make room."""
        self.metrics.count("held.slow_callers_ended")
        log.info(
            "Ended a caller that reads nothing.",
            extra={"answered": connection.answered},
        )

    def record_close(self, connection: CallerConnection, reason: str) -> None:
        """Count and log that this side closes a connection without being asked."""
        has_unread = has_unread_input(connection.sock)
        self.metrics.count(f"connections.closed.{reason}")
        if has_unread:
            self.metrics.count("connections.closed.unread")
        log.info(
            "Closed a caller's connection.",
            extra={
                "why": reason,
                "answered": connection.answered,
                "open_seconds": round(time.monotonic() - connection.opened_at, 3),
                "has_unread": has_unread,
            },
        )

    def begin_closing(self) -> None:
        """Close each connection after its next response from now on."""
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections that carry no request, neither read nor unread."""
        for connection in list(self.connections):
            if connection.can_close:
                connection.close_for_stop()

    def stop_accepting(self) -> None:
        """Close the listener; open connections go on.

        The kernel resets the connections that are still in the queue of a listener
        that closes, so these are accepted first.
        """
        accepted = self.accept_queued()
        self.listener.close()
        log.info(
            "Accepting no more connections.",
            extra={"queued": accepted, "open": len(self.connections)},
        )

    def accept_queued(self) -> int:
        """Accept the connections in the listener's queue; return how many."""
        for accepted in range(MAX_QUEUED_CONNECTIONS):
            try:
                sock, _ = self.listener.fd.accept()
            except BlockingIOError:
                return accepted
            except OSError as error:
                log.warning("Failed to accept a connection: %s", error)
                return accepted
            self.start_connection(GreenSocket(sock))
        return MAX_QUEUED_CONNECTIONS

    def interrupt_requests(self, include_started: bool = False) -> int:
        """Have the requests in progress answered now; return how many there are.

        Responses that have begun go on unless `include_started` is set.
        """
        interrupted = [
            connection.interrupt(include_started)
            for connection in list(self.connections)
        ]
        return sum(interrupted)

    @property
    def is_busy(self) -> bool:
        """Whether any connection carries a request or its last response."""
        return any(not connection.can_close for connection in self.connections)
