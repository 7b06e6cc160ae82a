"""Accepts the connections of callers, and closes them at a planned stop."""

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
    """Every open connection of callers, and what they share."""

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
        """Accept until the listener is closed."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                if self.listener.fileno() < 0:
                    return
                log.warning("A connection could not be accepted: %s", error)
                eventlet.sleep(0.01)
                continue
            eventlet.spawn_n(self.serve, sock)

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection to its end."""
        connection = CallerConnection(sock, self)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)

    def must_close(self) -> bool:
        """Tell whether connections close after their next answer."""
        return self.closing

    def count_refusal(self, error: RequestError) -> None:
        """Count bad input."""
        self.metrics.count_refusal(f"input_{error.status}")
        log.info("Input refused.", extra={"status": error.status, "why": error.reason})

    def begin_closing(self) -> None:
        """From here on, every answer says that the connection closes."""
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.idle:
                connection.shut()

    def stop_accepting(self) -> None:
        """Take no more connections."""
        self.listener.close()

    @property
    def is_busy(self) -> bool:
        """Whether any request is under way."""
        return any(not connection.idle for connection in self.connections)
