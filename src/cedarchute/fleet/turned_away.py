"""Entries of the store that cannot be used, told at a bounded rate."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.fleet")

# Lines in each period. A writer that goes wrong writes some entries, again and again;
# the first few lines of a minute name it, and the counter tells how often.
MOST_LINES: Final = 10
PERIOD_SECONDS: Final = 60.0
# Of a reason or a key, which other writers choose: one line of a log.
MOST_TEXT: Final = 200


class TurnedAway:
    """Counts, logs and remembers why an entry was not used.

    Every follower tells of such an entry here, so that there is one counter and one
    line of the log, whatever part of the store it stands in.
    """

    def __init__(
        self, metrics: Metrics, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.metrics = metrics
        self.clock = clock
        self.period_began_at = clock()
        self.lines = 0

    def note(self, kind: str, key: str, why: str) -> None:
        """Take in that the entry under `key` is not used.

        Parameters
        ----------
        kind : str
            What should stand there: ``target``, ``box``, ``seats``, ``configuration``.
        """
        why = why[:MOST_TEXT]
        self.metrics.count(f"store.{kind}_turned_away")
        self.metrics.note(f"store.{kind}_turned_away", f"{key[:MOST_TEXT]}: {why}")
        now = self.clock()
        if now - self.period_began_at >= PERIOD_SECONDS:
            self.period_began_at = now
            self.lines = 0
        self.lines += 1
        if self.lines <= MOST_LINES:
            log.warning(
                "Entry not used.",
                extra={
                    "kind": kind,
                    "entry": key[:MOST_TEXT],
                    "why": why,
                    "more_lines_left": MOST_LINES - self.lines,
                },
            )
