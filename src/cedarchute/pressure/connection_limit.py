"""Bounds the connections of one listener."""

from __future__ import annotations

import logging
import time
from itertools import islice
from typing import TYPE_CHECKING, Final, Protocol

import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.pressure")

# How often a listener that may accept nothing looks again.
ROOM_CHECK_SECONDS: Final = 0.02
# Each search looks through all connections, so it makes room for several.
CLOSED_AT_ONCE: Final = 16
# A younger connection is about to carry a request, or the rest of one.
MIN_QUIET_SECONDS: Final = 0.3
# Under a crowd there is a line in the log for so many seconds, not for each close.
LOG_SECONDS: Final = 1.0


class LimitedConnection(Protocol):
    """A connection that may have to make room for others.

    Attributes
    ----------
    active_at : float
        Monotonic time of its last byte.
    """

    active_at: float

    @property
    def can_make_room(self) -> bool:
        """Whether no request on it has been read whole and is not answered."""
        ...

    def close_for_room(self) -> None:
        """Close it; its task ends soon."""
        ...


class ConnectionLimit:
    """Makes room for new connections by closing those that are quiet longest.

    Attributes
    ----------
    connections : Collection of LimitedConnection
        Those that are open, kept by the listener.
    """

    def __init__(
        self,
        name: str,
        connections: Collection[LimitedConnection],
        find_max: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.connections = connections
        self.find_max = find_max
        self.metrics = metrics
        self.logged_at = float("-inf")
        self.closed = 0

    def wait_for_room(self) -> None:
        """Return once a further connection may be accepted."""
        while len(self.connections) >= self.find_max():
            self.make_room()
            eventlet.sleep(ROOM_CHECK_SECONDS)

    def make_room(self) -> None:
        """Close some connections that carry no request, those quiet longest."""
        quiet_since = time.monotonic() - MIN_QUIET_SECONDS
        quiet = [c for c in self.connections if c.active_at < quiet_since]
        quiet.sort(key=lambda connection: connection.active_at)
        # Looked at in order and only until there are enough: each look may be a
        # system call.
        able = (connection for connection in quiet if connection.can_make_room)
        chosen = list(islice(able, CLOSED_AT_ONCE))
        for connection in chosen:
            connection.close_for_room()
        self.closed += len(chosen)
        self.metrics.count(f"connections.closed.room.{self.name}", len(chosen))
        self.log_limit()

    def log_limit(self) -> None:
        """Log now and then that the limit was reached, and what was closed."""
        now = time.monotonic()
        if now - self.logged_at < LOG_SECONDS:
            return
        self.logged_at = now
        log.info(
            "As many connections as this listener may have.",
            extra={
                "listener": self.name,
                "open": len(self.connections),
                "max": self.find_max(),
                "closed_for_room": self.closed,
            },
        )
        self.closed = 0
