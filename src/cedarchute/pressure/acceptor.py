"""Accepts connections for as long as a listener is open, whatever fails."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.pressure.connection_limit import ConnectionLimit

log = logging.getLogger("cedarchute.pressure")

# A process without descriptors has one again once a connection has ended.
RETRY_SECONDS: Final = 0.05


class Acceptor:
    """Passes on each connection of one listener.

    A failed accept says nothing about the listener: the process has no descriptor left,
    or the other side has gone already.

    Parameters
    ----------
    start : Callable
        Takes the socket and the address of the other side; returns at once.
    """

    def __init__(
        self,
        listener: socket.socket,
        limit: ConnectionLimit,
        start: Callable[[socket.socket, tuple[str, int]], None],
        metrics: Metrics,
    ) -> None:
        self.listener = listener
        self.limit = limit
        self.start = start
        self.metrics = metrics
        self.has_failed = False

    def accept_forever(self) -> None:
        """Accept connections until the listener is closed."""
        while self.listener.fileno() >= 0:
            self.limit.wait_for_room()
            try:
                sock, address = self.listener.accept()
            except OSError as error:
                if self.listener.fileno() < 0:
                    return
                self.record_failure(error)
                self.limit.make_room()
                eventlet.sleep(RETRY_SECONDS)
                continue
            self.record_success()
            self.start(sock, address)

    def record_failure(self, error: OSError) -> None:
        """Count a failed accept; log the first of a series."""
        self.metrics.count(f"accept.failed.{self.limit.name}")
        if self.has_failed:
            return
        self.has_failed = True
        log.warning(
            "Failed to accept a connection.",
            extra={"listener": self.limit.name, "why": str(error)},
        )

    def record_success(self) -> None:
        """Log that a series of failed accepts is over."""
        if not self.has_failed:
            return
        self.has_failed = False
        log.info("Accepting connections again.", extra={"listener": self.limit.name})
