"""The counts of crashes that a box knows of."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from cedarchute.crashes.crash_report import CrashReport
from cedarchute.decisions.crash_count import NO_CRASHES, CrashCount
from cedarchute.record import Record

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

log = logging.getLogger("cedarchute.crashes")

# Longer than callers go on sending a request again. A request that was blocked by
# mistake is served again after this time.
LAPSE_SECONDS: Final = 60.0
# Requests that were on crashed targets; several times those on a failure domain.
MAX_REQUESTS: Final = 4096


class KnownCount(Record):
    """A count and when it was reached, on the monotonic clock of this box."""

    count: CrashCount
    counted_at: float


class CrashTable:
    """Counts by digest of the request; the oldest ones are dropped first.

    Empty unless a target crashed lately, so calls need no look-up in general.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.known: OrderedDict[str, KnownCount] = OrderedDict()

    def __len__(self) -> int:
        self.expire()
        return len(self.known)

    def find(self, digest: str) -> CrashCount:
        """Return the count of a request."""
        known = self.known.get(digest)
        if known is None or self.find_seconds_left(known) <= 0:
            return NO_CRASHES
        return known.count

    def find_block(self, digest: str) -> float | None:
        """Return for how many seconds a request must not be sent; None if it may."""
        known = self.known.get(digest)
        if known is None or not known.count.is_blocking:
            return None
        seconds = self.find_seconds_left(known)
        return seconds if seconds > 0 else None

    def find_seconds_left(self, known: KnownCount) -> float:
        """Return how long a count is valid."""
        return known.counted_at + LAPSE_SECONDS - self.clock()

    def merge(self, digest: str, count: CrashCount, age_seconds: float = 0.0) -> bool:
        """Take in a count; return whether it is larger than the known one."""
        self.expire()
        if count <= self.find(digest) or age_seconds >= LAPSE_SECONDS:
            return False
        self.known[digest] = KnownCount(count, self.clock() - age_seconds)
        self.known.move_to_end(digest)
        if len(self.known) > MAX_REQUESTS:
            self.known.popitem(last=False)
        return True

    def merge_reports(self, reports: Iterable[CrashReport]) -> None:
        """Take in the reports of another box and log what is news here."""
        for report in reports:
            count = CrashCount(report.clearances, report.crashes)
            if self.merge(report.request, count, report.age_ms / 1000):
                log.info(
                    "Told of crashes under a request.",
                    extra={
                        "request": report.request,
                        "crashes": report.crashes,
                        "clearances": report.clearances,
                        "age_ms": report.age_ms,
                    },
                )

    def list_reports(self, digests: Iterable[str]) -> tuple[CrashReport, ...]:
        """Return what is known of requests, to be told to other boxes."""
        self.expire()
        now = self.clock()
        known = [(digest, self.known[digest]) for digest in digests if digest in self]
        return tuple(
            CrashReport(
                digest,
                entry.count.clearances,
                entry.count.crashes,
                round((now - entry.counted_at) * 1000),
            )
            for digest, entry in known
        )

    def list_newest(self, limit: int) -> tuple[CrashReport, ...]:
        """Return reports of the requests that were counted last."""
        return self.list_reports(list(self.known)[-limit:])

    def __contains__(self, digest: str) -> bool:
        return digest in self.known

    def expire(self) -> None:
        """Drop counts that are no longer valid."""
        while self.known:
            digest, oldest = next(iter(self.known.items()))
            if self.find_seconds_left(oldest) > 0:
                return
            del self.known[digest]
