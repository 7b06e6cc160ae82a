"""Ports of this machine that no other run takes while they are held."""

from __future__ import annotations

import random
import socket
from typing import Final

HOST: Final = "127.0.0.1"
# Below the range from which the system takes the ports of outgoing connections: one
# of these could take a port between its choice and the start of its process.
FIRST_PORT: Final = 10_000
LAST_PORT: Final = 32_000

_given: set[int] = set()
_random = random.SystemRandom()


class HeldPorts:
    """Ports that stay those of one run, also while their processes are down.

    Each port is held by a bound socket that does not listen. Bound without
    ``SO_REUSEADDR`` it excludes every other holder; given that option afterwards, it
    lets a server that sets it, as all of ours do, listen on the port. Without a held
    port, a process that starts late or again finds that another run has taken it.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def take(self) -> int:
        """Return a port that nobody uses and that this process never had before."""
        while True:
            port = _random.randrange(FIRST_PORT, LAST_PORT)
            if port in _given:
                continue
            held = hold_port(port)
            if held is None:
                continue
            _given.add(port)
            self.sockets.append(held)
            return port

    def release(self) -> None:
        """Let go of every port."""
        for held in self.sockets:
            held.close()
        self.sockets = []


def hold_port(port: int) -> socket.socket | None:
    """Return the socket that holds `port`; None when something else uses it."""
    held = socket.socket()
    try:
        held.bind((HOST, port))
    except OSError:
        held.close()
        return None
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return held


_until_the_end = HeldPorts()


def find_free_port() -> int:
    """Return a port that is held until this process ends."""
    return _until_the_end.take()
