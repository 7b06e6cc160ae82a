"""Serves a WSGI application on one listener, within bounds on all its peers."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Any, Final

import eventlet
from eventlet import greenio, wsgi

from cedarchute.bounded_reader import ReadBoundError
from cedarchute.daemon.lean_protocol import LeanProtocol
from cedarchute.daemon.page_refused_error import PageRefusedError
from cedarchute.pressure.acceptor import Acceptor
from cedarchute.pressure.connection_limit import ConnectionLimit
from cedarchute.pressure.held_bytes import FULL_RETRY_SECONDS
from cedarchute.pressure.unbounded_bytes import UNBOUNDED

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.pressure.held_amount import HeldAmount
    from cedarchute.pressure.held_bytes import HeldBytes

log = logging.getLogger("cedarchute.daemon")

KEEP_ALIVE_SECONDS: Final = 60
# How long the next bytes of a request may take, or the peer may accept none.
SILENCE_SECONDS: Final = 10.0
# The largest request between boxes is a copy of many records.
MAX_BODY_BYTES: Final = 64_000_000
# A body is read, decoded and encoded anew for the disk before it is let go.
BODY_COPIES: Final = 4
# One that comes in chunks, as requests between boxes don't.
MAX_UNKNOWN_BODY_BYTES: Final = 262_144
# A body of this size is a part of what a connection costs.
SMALL_BODY_BYTES: Final = 16_384


class PageConnection:
    """One connection of a page server.

    Attributes
    ----------
    state : list
        Address, socket and state, as eventlet's server keeps them.
    active_at : float
        Monotonic time at which its last request began or ended.
    is_handling : bool
        Whether the head of a request has been read, and the request is not answered.
    """

    def __init__(self, sock: socket.socket, address: tuple[str, int]) -> None:
        self.state = [address, sock, wsgi.STATE_IDLE]
        self.active_at = time.monotonic()
        self.is_handling = False

    @property
    def can_make_room(self) -> bool:
        """Whether no request on it is being handled."""
        return not self.is_handling

    def close_for_room(self) -> None:
        """Close it; the read of its task ends."""
        greenio.shutdown_safe(self.state[1])


class PageServer(wsgi.Server):
    """Accepts connections whatever fails, and refuses what there is no room for.

    Parameters
    ----------
    find_max : Callable
        Returns how many connections the listener may have.
    held : HeldBytes
        Counts the bodies of requests beside what the box holds for other peers.

    Attributes
    ----------
    open_connections : dict
        Connections by socket: an address may come back while its task still runs.
    """

    def __init__(
        self,
        listener: Any,
        app: Callable[..., Any],
        name: str,
        find_max: Callable[[], int],
        metrics: Metrics,
        held: HeldBytes = UNBOUNDED,
    ) -> None:
        super().__init__(
            listener,
            listener.getsockname(),
            app,
            protocol=LeanProtocol,
            log_output=False,
            keepalive=KEEP_ALIVE_SECONDS,
            debug=False,
            socket_timeout=SILENCE_SECONDS,
        )
        self.name = name
        self.metrics = metrics
        self.held = held
        self.open_connections: dict[socket.socket, PageConnection] = {}
        limit = ConnectionLimit(name, self.open_connections.values(), find_max, metrics)
        self.acceptor = Acceptor(listener, limit, self.start_connection, metrics)

    def serve_forever(self) -> None:
        """Serve until the listener is closed."""
        self.acceptor.accept_forever()

    def start_connection(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection in a task of its own; it counts from now on."""
        sock.settimeout(SILENCE_SECONDS)
        connection = self.open_connections[sock] = PageConnection(sock, address)
        eventlet.spawn_n(self.serve_connection, connection)

    def serve_connection(self, connection: PageConnection) -> None:
        """Serve one connection until it is closed."""
        sock = connection.state[1]
        try:
            self.process_request(connection.state)
        except ReadBoundError as error:
            self.metrics.count_refusal("page_bound")
            log.info(
                "Ended a request that is too long.",
                extra={"listener": self.name, "why": str(error)},
            )
        except OSError as error:
            log.debug("Connection of a page broke off: %s", error)
        finally:
            self.open_connections.pop(sock, None)
            greenio.shutdown_safe(sock)
            sock.close()

    def begin_request(self, sock: socket.socket) -> None:
        """Take in that the head of a request was read."""
        self.open_connections[sock].is_handling = True

    def end_request(self, sock: socket.socket) -> None:
        """Take in that a request was answered, or broke off."""
        connection = self.open_connections[sock]
        connection.is_handling = False
        connection.active_at = time.monotonic()

    def admit(self, environ: dict[str, Any], body: HeldAmount) -> int:
        """Count the body of a request before it is read; return how much may be read.

        Nothing of one that is too long: an application with a limit of its own says
        so in its own way.

        Raises
        ------
        PageRefusedError
            When there is no room for it.
        """
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if environ.get("HTTP_TRANSFER_ENCODING"):
            length = MAX_UNKNOWN_BODY_BYTES
        if length > MAX_BODY_BYTES:
            return 0
        if length <= SMALL_BODY_BYTES:
            return length
        cost = BODY_COPIES * length
        if not self.held.has_room(cost):
            raise PageRefusedError("503 Service Unavailable", FULL_RETRY_SECONDS)
        body.grow(cost)
        return length

    def record_refusal(self, path: str, refusal: PageRefusedError) -> None:
        """Count and log a request that is refused before its body is read."""
        status = refusal.status.partition(" ")[0]
        self.metrics.count_refusal(f"page_{status}")
        log.info(
            "Refused a request of a page.",
            extra={"listener": self.name, "path": path, "status": status},
        )
