"""A pool of idle connections to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.relay.target_connection import TargetConnection

if TYPE_CHECKING:
    from cedarchute.address import Address
    from cedarchute.metrics import Metrics

# Connecting within a region takes a few milliseconds; after this time the address
# counts as unreachable and another target is tried.
CONNECT_TIMEOUT_SECONDS: Final = 0.4


class TargetPool:
    """Idle connections by address; the most recently used one is reused first."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.idle: dict[Address, list[TargetConnection]] = {}

    def take(self, address: Address, seconds: float) -> TargetConnection:
        """Return an idle connection, or open one within `seconds`."""
        connections = self.idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_available:
                return connection
            connection.close()
        self.metrics.count("targets.connections")
        return TargetConnection.open(address, min(CONNECT_TIMEOUT_SECONDS, seconds))

    def is_warm(self, address: Address) -> bool:
        """Return whether an idle connection to `address` can be reused."""
        connections = self.idle.get(address)
        return bool(connections) and connections[-1].is_available

    def give_back(self, connection: TargetConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_available:
            connection.close()
            return
        self.idle.setdefault(connection.address, []).append(connection)

    def drop(self, address: Address) -> None:
        """Close the idle connections to a target that was removed."""
        for connection in self.idle.pop(address, []):
            connection.close()
