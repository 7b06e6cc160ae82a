"""Ports of this machine that nothing uses."""

from __future__ import annotations

import random
import socket
from typing import Final

# Below the range from which the system takes the ports of outgoing connections: one
# of these could take a port between its choice and the start of its process.
FIRST_PORT: Final = 10_000
LAST_PORT: Final = 32_000

_given: set[int] = set()
_random = random.SystemRandom()


def find_free_port() -> int:
    """Return a port that nothing listens on and that was not returned before."""
    while True:
        port = _random.randrange(FIRST_PORT, LAST_PORT)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        return port
