"""Counters and timers, sent to statsd."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from itertools import accumulate
from typing import TYPE_CHECKING, Final

import statsd

HEADER_BYTES: Final = 350
# From a hop within a failure domain to a turn that takes its whole deadline.
BUCKET_SECONDS: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)

if TYPE_CHECKING:
    from prometheus_client.core import Metric

    from cedarchute.address import Address


class _Families:
    """Hands what was counted and timed to the renderer."""

    def __init__(self, families: list[Metric]) -> None:
        self.families = families

    def collect(self) -> list[Metric]:
        """Return the families."""
        return self.families


class Metrics:
    """Counts what happens; every refusal and retry has a counter of its own.

    The totals are kept in the process too, so that ``cedarchute boxes`` and the
    tests can read them without a statsd server.
    """

    def __init__(
        self, address: Address | None = None, prefix: str = "cedarchute"
    ) -> None:
        self.totals: Counter[str] = Counter()
        self.durations: dict[str, list[int]] = {}
        self.sums: Counter[str] = Counter()
        self.notes: dict[str, str] = {}
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

    def note(self, name: str, text: str) -> None:
        """Keep the last reason given for what is counted as `name`."""
        self.notes[name] = text

    def time(self, name: str, seconds: float) -> None:
        """Record one duration."""
        histogram = self.durations.setdefault(name, [0] * (len(BUCKET_SECONDS) + 1))
        histogram[bisect_left(BUCKET_SECONDS, seconds)] += 1
        self.sums[name] += seconds
        if self.client is not None:
            self.client.timing(name, seconds * 1000.0)

    def render_text(self) -> str:
        """Return the counters in the text form that scrapers read."""
        # Imported when first asked for: it takes memory that few boxes need.
        from prometheus_client import CollectorRegistry, generate_latest
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        family = CounterMetricFamily(
            "cedarchute_events", "What happened, by its name.", labels=["name"]
        )
        for name, total in sorted(self.totals.items()):
            family.add_metric([name], total)
        latencies = HistogramMetricFamily(
            "cedarchute_seconds", "How long things took, by name.", labels=["name"]
        )
        bounds = [str(bound) for bound in BUCKET_SECONDS] + ["+Inf"]
        for name, counts in sorted(self.durations.items()):
            buckets = list(zip(bounds, accumulate(counts), strict=True))
            latencies.add_metric([name], buckets, self.sums[name])
        reasons = GaugeMetricFamily(
            "cedarchute_last_reason",
            "The last reason of an event, by its name.",
            labels=["name", "reason"],
        )
        for name, text in sorted(self.notes.items()):
            reasons.add_metric([name, text], 1)
        registry = CollectorRegistry()
        registry.register(_Families([family, latencies, reasons]))
        return generate_latest(registry).decode()
