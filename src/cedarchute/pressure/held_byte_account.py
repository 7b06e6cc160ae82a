"""The account of the bytes that a box holds, against a bound.

Answers the load of many callers and targets that read slowly at once: each of them
holds little, their sum exceeds the memory of a small box.
"""

from __future__ import annotations

import logging
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from cedarchute.pressure.held_bytes import HeldCause
from cedarchute.pressure.pressure_level import PressureLevel

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.pressure")

# The last quarter is left to what is under way and can't be paused.
NEAR_SHARE: Final = 0.75
# Room beyond the bound for small calls: others fill the bound and would keep them out.
SMALL_CALL_SHARE: Final = 0.125
# A level is logged as left once the sum is this far below it, so that a sum that varies
# around a threshold doesn't fill the log.
LEFT_SHARE: Final = 0.9
# Peaks are published in steps of this size.
PEAK_STEP_BYTES: Final = 65_536


class HeldByteAccount:
    """Counts held bytes by cause; implements `HeldBytes`.

    Parameters
    ----------
    max_bytes : int
        The bound on the sum of all causes.
    """

    def __init__(self, max_bytes: int, metrics: Metrics) -> None:
        self.max_bytes = max_bytes
        self.metrics = metrics
        self.counts: dict[HeldCause, int] = dict.fromkeys(HeldCause, 0)
        self.published_peaks: dict[HeldCause, int] = dict.fromkeys(HeldCause, 0)
        self.total = 0
        self.logged_level = PressureLevel.NORMAL

    @property
    def is_near_bound(self) -> bool:
        """Whether targets should be read no faster than callers read."""
        return self.total >= NEAR_SHARE * self.max_bytes

    @property
    def is_at_bound(self) -> bool:
        """Whether nothing large should be let in."""
        return self.total >= self.max_bytes

    @property
    def is_full(self) -> bool:
        """Whether small calls should be refused as well."""
        return self.total >= (1 + SMALL_CALL_SHARE) * self.max_bytes

    def has_room(self, count: int) -> bool:
        """Return whether `count` more bytes stay below the bound."""
        return self.total + count < self.max_bytes

    def add(self, cause: HeldCause, count: int) -> None:
        """Count bytes that are held from now on."""
        held = self.counts[cause] = self.counts[cause] + count
        self.total += count
        # Most amounts are small and far from the bound; each event of a stream is one.
        if held - self.published_peaks[cause] >= PEAK_STEP_BYTES:
            self.publish_peak(cause)
        if self.logged_level or self.is_near_bound:
            self.log_crossing()

    def remove(self, cause: HeldCause, count: int) -> None:
        """Count bytes that are no longer held.

        Raises
        ------
        ValueError
            When fewer bytes are held for `cause`.
        """
        if count > self.counts[cause]:
            raise ValueError(f"{count} of {self.counts[cause]} bytes released: {cause}")
        self.counts[cause] -= count
        self.total -= count
        if self.logged_level:
            self.log_crossing()

    @contextmanager
    def holding(self, cause: HeldCause, count: int) -> Iterator[None]:
        """Count bytes as held for as long as the block runs."""
        self.add(cause, count)
        try:
            yield
        finally:
            self.remove(cause, count)

    def publish_peak(self, cause: HeldCause) -> None:
        """Raise the counter of a cause to the most bytes held so far."""
        rise = self.counts[cause] - self.published_peaks[cause]
        if rise < PEAK_STEP_BYTES:
            return
        self.published_peaks[cause] += rise
        self.metrics.count(f"held.peak.{cause}", rise)

    def log_crossing(self) -> None:
        """Log that the sum has reached a level, or has clearly left it."""
        level = self.find_level(self.total)
        if level < self.logged_level:
            level = min(self.logged_level, self.find_level(self.total / LEFT_SHARE))
        if level is self.logged_level:
            return
        has_risen = level > self.logged_level
        self.logged_level = level
        if has_risen:
            self.metrics.count(f"held.reached.{level.name.lower()}")
        log.info(
            "More bytes are held." if has_risen else "Fewer bytes are held.",
            extra={
                "pressure": level.name.lower(),
                "held_bytes": self.total,
                "max_bytes": self.max_bytes,
                **{f"{cause}_bytes": count for cause, count in self.counts.items()},
            },
        )

    def find_level(self, total: float) -> PressureLevel:
        """Return the level of a sum."""
        if total >= self.max_bytes:
            return PressureLevel.AT_BOUND
        if total >= NEAR_SHARE * self.max_bytes:
            return PressureLevel.NEAR_BOUND
        return PressureLevel.NORMAL
