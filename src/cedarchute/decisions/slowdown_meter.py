"""How much slower the engines of a service are than usual, seen from streams alone.

Answers load that comes faster than engines serve it. Engines batch: past the batch
that they take, each call waits for its first event, and long prompts of others stretch
the pauses between events. Every box sees both on its own streams, at no cost and within
tenths of a second, without asking an engine or another box.
"""

from __future__ import annotations

from typing import Final

from cedarchute.decisions.baseline_latency import BaselineLatency, PaceSums
from cedarchute.decisions.recent_pace import RecentPace
from cedarchute.record import Record

# What was seen this long ago counts a third. A program lives for seconds and the queue
# of an engine grows in tenths: shorter is noise, longer lets a burst in unseen.
MEMORY_SECONDS: Final = 0.8
# Fewer samples than this, of some three streams, are the luck of one engine.
LEAST_SAMPLES: Final = 24.0
# A target counts as this many times as slow as the middle one at the most: a few very
# slow ones say little of the load, and must not have everybody refused.
MOST_OVER_MIDDLE: Final = 2.5
# The trend is the difference from what was seen over this long. It counts that many
# times: programs let in now slow the engines down a second later, and what is let in
# at the end of an overload finds them free.
LONGER_SECONDS: Final = 1.6
TREND_WEIGHT: Final = 2.0
# A wait under way counts as this many times the usual one at the most: calls at a
# target that hangs say nothing of the others.
MOST_OVERDUE: Final = 8.0


class Wait(Record):
    """A call that waits for its first event."""

    target: str
    began_at: float


class TargetPace(Record):
    """Samples of one target, and how many times longer than usual they took."""

    samples: float
    slowdown: float


def find_middle(rows: list[TargetPace]) -> float:
    """Return the slowdown that half of all samples lie below."""
    half = sum(row.samples for row in rows) / 2
    below = 0.0
    for row in sorted(rows, key=lambda row: row.slowdown):
        below += row.samples
        if below >= half:
            return row.slowdown
    return 1.0


class SlowdownMeter:
    """Compares what streams take now with what they take when engines are calm.

    Each target is measured by itself: what is far slower than the middle one is slow on
    its own and says little of the load, since calls go elsewhere. Times are seconds of
    a steady clock that the caller reads.
    """

    def __init__(self) -> None:
        self.usual = BaselineLatency()
        self.recent: dict[str, RecentPace] = {}
        self.longer: dict[str, RecentPace] = {}
        self.waiting: dict[int, Wait] = {}
        self.next_wait = 0

    def begin_wait(self, target: str, now: float) -> int:
        """Take in that a call was sent; return a number for the end of its wait."""
        self.next_wait += 1
        self.waiting[self.next_wait] = Wait(target, now)
        return self.next_wait

    def end_wait(self, number: int) -> None:
        """Take in that a call waits no more for its first event."""
        self.waiting.pop(number, None)

    def record_first_event(self, target: str, now: float, seconds: float) -> None:
        """Take in how long a target took for the first event of a stream."""
        for sums in self.list_sums(target, now):
            sums.firsts += 1
            sums.first_seconds += seconds

    def record_event_gaps(
        self, target: str, now: float, seconds: float, events: int
    ) -> None:
        """Take in how long the next `events` events of a stream took."""
        for sums in self.list_sums(target, now):
            sums.pauses += events
            sums.pause_seconds += seconds
        self.usual.take_in(now)

    def list_sums(self, target: str, now: float) -> list[PaceSums]:
        """Return the sums that a sample of a target counts in."""
        if target not in self.recent:
            self.recent[target] = RecentPace(MEMORY_SECONDS, now)
            self.longer[target] = RecentPace(LONGER_SECONDS, now)
        recent = self.recent[target].age(now)
        return [recent, self.longer[target].age(now), self.usual.window]

    def forget(self, target: str) -> None:
        """Forget a target that is gone."""
        self.recent.pop(target, None)
        self.longer.pop(target, None)

    def measure_slowdown(self, now: float) -> float:
        """Return how many times longer than usual calls take now; 1 if unknown."""
        if not self.usual.is_known:
            return 1.0
        overdue = self.list_overdue(now)
        recent = self.average(self.recent, overdue, now)
        trend = recent - self.average(self.longer, overdue, now)
        return max(1.0, recent + TREND_WEIGHT * trend)

    def average(
        self, paces: dict[str, RecentPace], overdue: dict[str, list[float]], now: float
    ) -> float:
        """Return the mean slowdown of targets by samples, outliers cut."""
        rows = []
        for target, pace in paces.items():
            row = self.compare(pace.age(now), overdue.get(target, []))
            if row.samples > 0:
                rows.append(row)
        samples = sum(row.samples for row in rows)
        if samples < LEAST_SAMPLES:
            return 1.0
        most = MOST_OVER_MIDDLE * find_middle(rows)
        return sum(row.samples * min(most, row.slowdown) for row in rows) / samples

    def compare(self, sums: PaceSums, overdue: list[float]) -> TargetPace:
        """Return what was counted by what it would usually have taken."""
        usual = self.usual
        took = sums.first_seconds + sums.pause_seconds + sum(overdue)
        firsts = sums.firsts + len(overdue)
        expected = firsts * usual.first_seconds + sums.pauses * usual.pause_seconds
        samples = firsts + sums.pauses
        return TargetPace(samples, took / expected if expected > 0 else 1.0)

    def list_overdue(self, now: float) -> dict[str, list[float]]:
        """Return the waits under way that are longer than usual, by target, seconds."""
        usual = self.usual.first_seconds
        most = MOST_OVERDUE * usual
        overdue: dict[str, list[float]] = {}
        for wait in self.waiting.values():
            seconds = now - wait.began_at
            if seconds > usual:
                overdue.setdefault(wait.target, []).append(min(seconds, most))
        return overdue
