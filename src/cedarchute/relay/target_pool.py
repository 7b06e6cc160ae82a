"""Connections to targets that are kept for the next request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.relay.target_connection import TargetConnection

if TYPE_CHECKING:
    from cedarchute.address import Address
    from cedarchute.metrics import Metrics

# A new connection to a target in the own region takes a few milliseconds; after
# this long its address is dead or cut off, and another target is tried.
CONNECT_SECONDS: Final = 0.4


class TargetPool:
    """Idle connections by address; the one used last is used first."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.idle: dict[Address, list[TargetConnection]] = {}

    def take(self, address: Address, seconds: float) -> TargetConnection:
        """Return a connection that can carry a request."""
        kept = self.idle.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.is_fresh:
                return connection
            connection.close()
        self.metrics.count("targets.connections")
        return TargetConnection.open(address, min(CONNECT_SECONDS, seconds))

    def is_warm(self, address: Address) -> bool:
        """Whether a connection to `address` is open and idle."""
        kept = self.idle.get(address)
        return bool(kept) and kept[-1].is_fresh

    def give_back(self, connection: TargetConnection) -> None:
        """Keep a connection whose answer was read whole, or close it."""
        if not connection.is_fresh:
            connection.close()
            return
        self.idle.setdefault(connection.address, []).append(connection)

    def drop(self, address: Address) -> None:
        """Close the idle connections to a target that is gone."""
        for connection in self.idle.pop(address, []):
            connection.close()
