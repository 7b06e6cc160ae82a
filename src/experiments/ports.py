"""Free ports for the processes of an experiment."""

from __future__ import annotations

import socket

_given: set[int] = set()


def find_free_port() -> int:
    """Return a port that nobody listens on and that was not given before."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _given:
            _given.add(port)
            return port
