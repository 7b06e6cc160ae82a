"""A target that ends for good under the requests that its script says so for."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import TYPE_CHECKING, Final

from standins.ending import Ending
from standins.raw_target import READ_BYTES, RawTarget, answer, health_answer, reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.raw_target import RawRequest

# How long a listener outlives the connections of its process.
LISTENER_SECONDS: Final = 0.15
# Ways in which the address goes on accepting connections.
STILL_ACCEPTING: Final = frozenset((Ending.REBORN, Ending.DARK, Ending.FRONTED))
# Ways in which nothing answers a connection that comes after the end.
LEFT_OPEN: Final = frozenset((Ending.DARK, Ending.CONNECTIONS_FIRST))


class MortalTarget(RawTarget):
    """Ends as a process or a machine does, in any of the ways of `Ending`.

    Attributes
    ----------
    before_end : Callable or None
        Called with a fatal request and its connection before the target ends.
    ended_at : float or None
        Monotonic time of the end.
    under_way : list of RawRequest
        Requests that it runs, or ran when it ended.
    unread : list of bytes
        What had come in on its connections and was not read when it ended.
    """

    def __init__(
        self,
        script: Callable[[RawRequest, socket.socket], None],
        is_fatal: Callable[[RawRequest], bool],
        ending: Ending = Ending.LISTENER_FIRST,
    ) -> None:
        self.is_fatal = is_fatal
        self.ending = ending
        self.before_end: Callable[[RawRequest, socket.socket], None] | None = None
        self.connections: list[socket.socket] = []
        self.ended = threading.Event()
        self.ended_at: float | None = None
        self.lock = threading.Lock()
        self.under_way: list[RawRequest] = []
        self.unread: list[bytes] = []
        super().__init__(self.run_or_end)
        self.run = script

    @property
    def is_dark(self) -> bool:
        """Whether the target has ended without closing anything."""
        return self.ended.is_set() and self.ending is Ending.DARK

    def serve(self, connection: socket.socket) -> None:
        """Serve a connection; after the end do what is left of the target."""
        self.connections.append(connection)
        if self.ended.is_set() and self.ending is not Ending.REBORN:
            if self.ending not in LEFT_OPEN:
                reset(connection)
            return
        super().serve(connection)

    def run_or_end(self, request: RawRequest, connection: socket.socket) -> None:
        """Run a request, or end under it."""
        if self.is_dark:
            stand_still()
        if self.ended.is_set():
            # The next process at the address.
            connection.sendall(answer(request, b"", b"421 Misdirected Request"))
            return
        self.under_way.append(request)
        if self.is_fatal(request):
            if self.before_end is not None:
                self.before_end(request, connection)
            self.end()
            if self.is_dark:
                stand_still()
        else:
            self.run(request, connection)
        if not self.ended.is_set():
            self.under_way.remove(request)

    def answer_health(self, connection: socket.socket) -> None:
        """Answer a health check, or have the next process at the address do so."""
        if self.is_dark:
            stand_still()
        instance = f"{self.id}-next" if self.ended.is_set() else self.id
        connection.sendall(health_answer(instance))

    def end(self) -> None:
        """End for good; what is under way stays listed as such."""
        with self.lock:
            if self.ended.is_set():
                return
            for connection in self.connections:
                self.unread.append(peek(connection))
            self.ended_at = time.monotonic()
            self.ended.set()
        if self.ending is Ending.CONNECTIONS_FIRST:
            self.end_connections()
            time.sleep(LISTENER_SECONDS)
        if self.ending not in STILL_ACCEPTING:
            # A thread that waits in accept keeps a closed listener open.
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
        if self.ending is not Ending.DARK:
            self.end_connections()

    def end_connections(self) -> None:
        """Close all connections as this way of ending does."""
        connections, self.connections = self.connections, []
        for connection in connections:
            end_connection(connection, is_reset=self.ending is not Ending.ORDERLY)


def stand_still() -> None:
    """Never return, as a process that stands still."""
    threading.Event().wait()


def peek(connection: socket.socket) -> bytes:
    """Return what has come in on a connection and was not read."""
    try:
        return connection.recv(READ_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        # There is nothing, or the connection was closed before.
        return b""


def end_connection(connection: socket.socket, is_reset: bool) -> None:
    """End a connection at once, also one that a thread reads from."""
    # It may have been closed before.
    with contextlib.suppress(OSError):
        if not is_reset:
            connection.shutdown(socket.SHUT_RDWR)
            return
        # A thread that waits for bytes keeps a closed connection open.
        connection.shutdown(socket.SHUT_RD)
        reset(connection)
