"""Rate-limited log of invalid store entries."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.fleet")

# Log lines per period. A faulty writer repeats its entries, so a few lines identify it;
# the counter has the total.
MOST_LINES: Final = 10
PERIOD_SECONDS: Final = 60.0
# Limit for reasons and keys, which contain text from other writers.
MAX_TEXT_LENGTH: Final = 200


class TurnedAway:
    """Counts and logs invalid entries and keeps the latest reason for the metrics.

    Shared by all followers, so that every part of the store has the same counters and
    log lines.
    """

    def __init__(
        self, metrics: Metrics, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.metrics = metrics
        self.clock = clock
        self.period_started_at = clock()
        self.lines = 0

    def note(self, kind: str, key: str, why: str) -> None:
        """Record that the entry under `key` is invalid and ignored.

        Parameters
        ----------
        kind : str
            Expected content: ``target``, ``box``, ``seats`` or ``configuration``.
        """
        why = why[:MAX_TEXT_LENGTH]
        self.metrics.count(f"store.{kind}_turned_away")
        self.metrics.note(
            f"store.{kind}_turned_away", f"{key[:MAX_TEXT_LENGTH]}: {why}"
        )
        now = self.clock()
        if now - self.period_started_at >= PERIOD_SECONDS:
            self.period_started_at = now
            self.lines = 0
        self.lines += 1
        if self.lines <= MOST_LINES:
            log.warning(
                "Entry not used.",
                extra={
                    "kind": kind,
                    "entry": key[:MAX_TEXT_LENGTH],
                    "why": why,
                    "more_lines_left": MOST_LINES - self.lines,
                },
            )
