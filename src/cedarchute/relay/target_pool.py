"""A pool of idle connections to targets."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Final
from weakref import WeakSet

from cedarchute.pressure.connection_shares import compute_idle_share
from cedarchute.relay.answer_limits import DEFAULT_LIMITS, AnswerLimits
from cedarchute.relay.connection_share_error import ConnectionShareError
from cedarchute.relay.target_connection import TargetConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.metrics import Metrics

# Connecting within a region takes a few milliseconds; after this time the address
# counts as unreachable and another target is tried.
CONNECT_TIMEOUT_SECONDS: Final = 0.4


class TargetPool:
    """Idle connections by address; the most recently used one is reused first.

    Parameters
    ----------
    find_share : Callable or None
        Returns how many connections to an address may be open; None sets no bound.

    Attributes
    ----------
    opened : dict of Address to WeakSet
        Connections that may be open; none are kept here without shares. Those of calls
        that were killed are not closed by anyone and leave on their own.
    opening : Counter
        Connections by address that are being opened.
    """

    def __init__(
        self,
        metrics: Metrics,
        find_share: Callable[[Address], int | None] | None = None,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> None:
        self.limits = limits
        self.metrics = metrics
        self.has_shares = find_share is not None
        self.find_share = find_share or (lambda address: None)
        self.idle: dict[Address, list[TargetConnection]] = {}
        self.opened: defaultdict[Address, WeakSet[TargetConnection]] = defaultdict(
            WeakSet
        )
        self.opening: Counter[Address] = Counter()

    def take(
        self, address: Address, seconds: float, call_id: bytes = b""
    ) -> TargetConnection:
        """Return an idle connection, or open one within `seconds`.

        Parameters
        ----------
        call_id : bytes
            Id of the call to send; no connection carries the same one twice.

        Raises
        ------
        ConnectionShareError
            When this box has as many connections to `address` as it may open.
        """
        connection = self.take_idle(address, call_id)
        if connection is not None:
            return connection
        share = self.find_share(address)
        if share is not None:
            self.check_share(address, share)
        self.metrics.count("targets.connections")
        return self.open(address, min(CONNECT_TIMEOUT_SECONDS, seconds))

    def take_idle(self, address: Address, call_id: bytes) -> TargetConnection | None:
        """Return an idle connection that may carry a call; None without one."""
        connections = self.idle.get(address, [])
        passed_over = []
        found = None
        while connections and found is None:
            connection = connections.pop()
            if not connection.is_available:
                connection.close()
            elif call_id in connection.carried:
                passed_over.append(connection)
            else:
                found = connection
        share = self.find_share(address)
        if found is None and passed_over and share is not None:
            # The share leaves room for a new one.
            passed_over.pop().close()
        connections.extend(reversed(passed_over))
        return found

    def check_share(self, address: Address, share: int) -> None:
        """Raise `ConnectionShareError` if no connection may be opened."""
        if self.count_open(address) < share:
            return
        self.metrics.count_refusal("connection_share")
        raise ConnectionShareError(share)

    def open(self, address: Address, seconds: float) -> TargetConnection:
        """Open a connection, which counts from now on."""
        self.opening[address] += 1
        try:
            connection = TargetConnection.open(address, seconds, self.limits)
            if self.has_shares:
                self.opened[address].add(connection)
        finally:
            self.opening[address] -= 1
            if not self.opening[address]:
                del self.opening[address]
        return connection

    def count_open(self, address: Address) -> int:
        """Return how many connections to `address` are open or being opened."""
        opened = self.opened.get(address, ())
        for connection in [each for each in opened if each.is_closed]:
            opened.discard(connection)
        if not opened:
            self.opened.pop(address, None)
        return len(opened) + self.opening[address]

    def is_warm(self, address: Address) -> bool:
        """Return whether an idle connection to `address` can be reused."""
        connections = self.idle.get(address)
        return bool(connections) and connections[-1].is_available

    def give_back(self, connection: TargetConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_available or self.exceeds_share(connection.address):
            connection.close()
            return
        self.idle.setdefault(connection.address, []).append(connection)

    def exceeds_share(self, address: Address) -> bool:
        """Return whether one more idle connection is more than this box may keep.

        A share falls as boxes come, below what is open already.
        """
        share = self.find_share(address)
        if share is None:
            return False
        if self.count_open(address) > share:
            return True
        return len(self.idle.get(address, ())) >= compute_idle_share(share)

    def drop(self, address: Address) -> None:
        """Close the idle connections to a target that was removed."""
        for connection in self.idle.pop(address, []):
            connection.close()
        # Calls that were under way to targets removed before may have ended.
        for opened_address in list(self.opened):
            self.count_open(opened_address)
