"""Counters and timers, sent to statsd."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

import statsd

HEADER_BYTES: Final = 350

if TYPE_CHECKING:
    from cedarchute.address import Address


class Metrics:
    """Counts what happens; every refusal and retry has a counter of its own.

    The totals are kept in the process too, so that ``cedarchute boxes`` and the
    tests can read them without a statsd server.
    """

    def __init__(
        self, address: Address | None = None, prefix: str = "cedarchute"
    ) -> None:
        self.totals: Counter[str] = Counter()
        self.client = None
        if address is not None:
            self.client = statsd.StatsClient(address.host, address.port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.totals[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def count_refusal(self, reason: str) -> None:
        """Count one refused request under its reason."""
        self.count(f"refused.{reason}")

    def count_retry(self, reason: str) -> None:
        """Count one retried request under its reason."""
        self.count(f"retried.{reason}")

    def count_exchange(self, kind: str, sent: int, received: int) -> None:
        """Count the bytes of one HTTP exchange, its headers by their usual size.

        Parameters
        ----------
        kind : str
            ``control`` for what a box says at rest too, ``data`` for the rest.
        sent, received : int
            Bytes of the two bodies.
        """
        self.count(f"{kind}.bytes", sent + received + HEADER_BYTES)

    def time(self, name: str, seconds: float) -> None:
        """Record one duration."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000.0)
