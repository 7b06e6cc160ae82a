"""A target that ends for good under the requests that its script says so for."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

from standins.raw_target import READ_BYTES, RawTarget, reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.raw_target import RawRequest


class MortalTarget(RawTarget):
    """Ends as a process does: no listener, every connection reset.

    Attributes
    ----------
    under_way : list of RawRequest
        Requests that it runs, or ran when it ended.
    unread : list of bytes
        What had come in on its connections and was not read when it ended.
    """

    def __init__(
        self,
        script: Callable[[RawRequest, socket.socket], None],
        is_fatal: Callable[[RawRequest], bool],
    ) -> None:
        self.is_fatal = is_fatal
        self.connections: list[socket.socket] = []
        self.ended = threading.Event()
        self.lock = threading.Lock()
        self.under_way: list[RawRequest] = []
        self.unread: list[bytes] = []
        super().__init__(self.run_or_end)
        self.run = script

    def serve(self, connection: socket.socket) -> None:
        """Serve a connection; reset one that was accepted after the end."""
        self.connections.append(connection)
        if self.ended.is_set():
            reset(connection)
            return
        super().serve(connection)

    def run_or_end(self, request: RawRequest, connection: socket.socket) -> None:
        """Run a request, or end under it."""
        self.under_way.append(request)
        if self.is_fatal(request):
            self.end()
        else:
            self.run(request, connection)
        if not self.ended.is_set():
            self.under_way.remove(request)

    def end(self) -> None:
        """End for good; what is under way stays listed as such."""
        with self.lock:
            if self.ended.is_set():
                return
            for connection in self.connections:
                self.unread.append(peek(connection))
            self.ended.set()
        # A thread that waits in accept keeps a closed listener open.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.connections:
            end_connection(connection)


def peek(connection: socket.socket) -> bytes:
    """Return what has come in on a connection and was not read."""
    try:
        return connection.recv(READ_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        # There is nothing, or the connection was closed before.
        return b""


def end_connection(connection: socket.socket) -> None:
    """Reset a connection at once, also one that a thread reads from."""
    # It may have been closed before.
    with contextlib.suppress(OSError):
        # A thread that waits for bytes keeps a closed connection open.
        connection.shutdown(socket.SHUT_RD)
        reset(connection)
