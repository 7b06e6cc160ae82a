"""A caller's connection that counts the events that reached it."""

from __future__ import annotations

import select
import socket
import time
from typing import Final

from experiments.raw_caller import RawCaller

EVENT_MARK: Final = b"data: "


class CountingCaller(RawCaller):
    """Counts events also of an answer that breaks off.

    Attributes
    ----------
    requests : int
        Requests begun on this connection.
    idle_since : float
        Since when it carries no request, monotonic.
    """

    def __init__(self, address: str, seconds: float) -> None:
        super().__init__(address, seconds)
        self.address = address
        self.requests = 0
        self.idle_since = time.monotonic()
        self.seen = b""

    def start_request(self) -> None:
        """Begin to count anew."""
        self.requests += 1
        self.seen = b""

    def receive(self) -> bytes:
        """Wait for bytes and keep them for the count."""
        received = super().receive()
        self.seen += received
        return received

    @property
    def event_count(self) -> int:
        """Events begun since the request."""
        return self.seen.count(EVENT_MARK)

    @property
    def is_closed(self) -> bool:
        """Whether the other side has closed the connection, or reset it."""
        # Unlike `select`, it takes any file number.
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        try:
            return bool(poll.poll(0)) and not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return True
