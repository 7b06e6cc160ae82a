"""What boxes tell each other of targets that fail."""

from __future__ import annotations

import logging
import statistics
import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

log = logging.getLogger("cedarchute.routing")

# What others told holds for this long: once nobody uses a target nobody hears of its
# failures, and it is tried again.
NEWS_SECONDS: Final = 2.0
# A target is suspected from this many failures on; fewer are bad luck.
LEAST_FAILURES: Final = 3
# And only when it fails this many times as often as the usual one of its service:
# under overload all fail alike, and leaving some out would make it worse.
USUAL_FACTOR: Final = 4.0
# Failures that wait to be told; older ones are no news any more.
UNTOLD_MOST: Final = 32


@dataclass(frozen=True)
class HeardCount:
    """How often a target failed lately, as a box heard it."""

    failures: int
    heard_at: float


class FailureNews:
    """Failures that this box has not told yet, and those that it heard of.

    A box alone learns of a failing target by its own failed calls, and so does every
    other box. What one has seen travels with the reservations of turns, which every
    box makes anyway, over the holders to the others.
    """

    def __init__(self) -> None:
        self.untold: deque[str] = deque(maxlen=UNTOLD_MOST)
        self.heard: dict[str, HeardCount] = {}
        self.suspected: set[str] = set()

    def note(self, target_id: str) -> None:
        """Take in that a target failed a call of this box."""
        self.untold.append(target_id)

    def take_untold(self) -> tuple[str, ...]:
        """Return the failures that are to be told now, one id for each."""
        failed = tuple(self.untold)
        self.untold.clear()
        return failed

    def hear(self, failures: Mapping[str, int]) -> None:
        """Take in how often targets failed lately, by id."""
        now = time.monotonic()
        for target_id, count in failures.items():
            known = self.heard.get(target_id)
            if known is None or self.is_old(known, now) or known.failures <= count:
                self.heard[target_id] = HeardCount(count, now)

    def find_suspects(self, target_ids: Iterable[str]) -> set[str]:
        """Return those of a service's targets that fail much more than the others."""
        if not self.heard and not self.suspected:
            return set()
        self.forget_old()
        counts = {i: self.count_failures(i) for i in target_ids}
        if not counts:
            return set()
        usual = statistics.median(counts.values())
        least = max(LEAST_FAILURES, USUAL_FACTOR * usual)
        suspects = {i for i, count in counts.items() if count >= least}
        self.note_suspects(suspects, counts)
        return suspects

    def note_suspects(self, suspects: set[str], counts: Mapping[str, int]) -> None:
        """Log which of a service's targets are newly suspected, and which no more."""
        for target_id in suspects - self.suspected:
            log.info(
                "Target suspected.",
                extra={"target": target_id, "failures": counts[target_id]},
            )
        cleared = (self.suspected & counts.keys()) - suspects
        for target_id in cleared:
            log.info("Target not suspected any more.", extra={"target": target_id})
        self.suspected = (self.suspected - cleared) | suspects

    def count_failures(self, target_id: str) -> int:
        """Return how often a target failed lately, as far as is known."""
        known = self.heard.get(target_id)
        return known.failures if known is not None else 0

    def forget_old(self) -> None:
        """Forget what was heard too long ago."""
        now = time.monotonic()
        old = [i for i, count in self.heard.items() if self.is_old(count, now)]
        for target_id in old:
            del self.heard[target_id]

    def is_old(self, count: HeardCount, now: float) -> bool:
        """Return whether what was heard does not count any more."""
        return now - count.heard_at > NEWS_SECONDS
