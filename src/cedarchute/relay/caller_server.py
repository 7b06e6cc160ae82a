"""Accepts caller connections and closes them in a graceful shutdown."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from cedarchute.relay.caller_connection import CallerConnection

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.input_limits import InputLimits
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.relay.request_error import RequestError

log = logging.getLogger("cedarchute.relay")


class CallerServer:
    """Tracks the open caller connections and holds their shared settings."""

    def __init__(
        self,
        listener: socket.socket,
        handle: Callable[[CallerRequest, ReplyWriter], None],
        limits: Callable[[], InputLimits],
        metrics: Metrics,
    ) -> None:
        self.listener = listener
        self.handle = handle
        self.limits = limits
        self.metrics = metrics
        self.connections: set[CallerConnection] = set()
        self.closing = False

    def serve_forever(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                if self.listener.fileno() < 0:
                    return
                log.warning("Failed to accept a connection: %s", error)
                eventlet.sleep(0.01)
                continue
            eventlet.spawn_n(self.serve, sock)

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection until it is closed."""
        connection = CallerConnection(sock, self)
        self.connections.add(connection)
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

    def begin_closing(self) -> None:
        """Close each connection after its next response from now on."""
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections that carry no request, neither read nor unread."""
        for connection in list(self.connections):
            if connection.can_close:
                connection.close_for_stop()

    def stop_accepting(self) -> None:
        """Close the listener; open connections go on."""
        self.listener.close()

    @property
    def is_busy(self) -> bool:
        """Whether any connection carries a request, read or unread."""
        return any(not connection.can_close for connection in self.connections)

    def count_busy(self) -> int:
        """Return how many connections have a request in progress."""
        return sum(not connection.is_idle for connection in self.connections)
