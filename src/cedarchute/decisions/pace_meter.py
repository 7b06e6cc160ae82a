"""How much slower than their baseline the engines of a service are, from streams alone.

Under overload, calls that exceed the batch of an engine wait for their first event, and
long prompts of other calls widen the gaps between events. Every box sees both on its
own streams within tenths of a second, without querying engines or other boxes.
"""

from __future__ import annotations

from typing import Final

from cedarchute.decisions.decaying_sums import DecayingSums
from cedarchute.decisions.usual_pace import BaselineLatency, LatencySums
from cedarchute.record import Record

# Time constant of recent samples: one of this age has a third of the weight. Engine
# queues grow in tenths of a second and programs last for seconds: a shorter one is
# noisy, a longer one notices a burst too late.
RECENT_DECAY_SECONDS: Final = 0.8
# With fewer samples, of about three streams, single engines dominate the result.
MIN_SAMPLES: Final = 24.0
# Caps the slowdown of a target relative to the median, so that a few very slow targets
# don't cause calls to all of them to be rejected.
MAX_OVER_MEDIAN: Final = 2.5
# The trend is the difference between recent and long-term samples. It extrapolates:
# programs admitted now slow the engines down only a second later, and those admitted at
# the end of an overload find them free.
LONG_TERM_DECAY_SECONDS: Final = 1.6
TREND_WEIGHT: Final = 2.0
# Caps a pending wait relative to the baseline: calls at a target that hangs say nothing
# about the other targets.
MAX_OVERDUE_RATIO: Final = 8.0


class PendingWait(Record):
    """A call that waits for its first event."""

    target: str
    began_at: float


class TargetSlowdown(Record):
    """Number of samples of one target and their slowdown relative to the baseline."""

    samples: float
    slowdown: float


def find_median_slowdown(targets: list[TargetSlowdown]) -> float:
    """Return the median slowdown, weighted by samples."""
    half = sum(entry.samples for entry in targets) / 2
    below = 0.0
    for entry in sorted(targets, key=lambda entry: entry.slowdown):
        below += entry.samples
        if below >= half:
            return entry.slowdown
    return 1.0


class SlowdownMeter:
    """Measures the slowdown of engines: current latencies relative to their baseline.

    Targets are measured one by one and outliers capped: a target far slower than the
    median is slow on its own and says little about the load. Times are monotonic
    seconds that the caller passes in.
    """

    def __init__(self) -> None:
        self.baseline = BaselineLatency()
        self.recent: dict[str, DecayingSums] = {}
        self.long_term: dict[str, DecayingSums] = {}
        self.waiting: dict[int, PendingWait] = {}
        self.last_wait = 0

    def begin_wait(self, target: str, now: float) -> int:
        """Record that a call was sent; return a number to pass to `end_wait`."""
        self.last_wait += 1
        self.waiting[self.last_wait] = PendingWait(target, now)
        return self.last_wait

    def end_wait(self, number: int) -> None:
        """Record that a call no longer waits for its first event."""
        self.waiting.pop(number, None)

    def record_first_event(self, target: str, now: float, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        for sums in self.list_sums(target, now):
            sums.first_events += 1
            sums.first_event_seconds += seconds

    def record_event_gaps(
        self, target: str, now: float, seconds: float, events: int
    ) -> None:
        """Record the time that the next `events` events of a stream took in all."""
        for sums in self.list_sums(target, now):
            sums.gaps += events
            sums.gap_seconds += seconds
        self.baseline.update(now)

    def list_sums(self, target: str, now: float) -> list[LatencySums]:
        """Return the sums to which a sample of a target is added."""
        if target not in self.recent:
            self.recent[target] = DecayingSums(RECENT_DECAY_SECONDS, now)
            self.long_term[target] = DecayingSums(LONG_TERM_DECAY_SECONDS, now)
        recent = self.recent[target].decay(now)
        return [recent, self.long_term[target].decay(now), self.baseline.window]

    def forget(self, target: str) -> None:
        """Remove the samples of a target that is gone."""
        self.recent.pop(target, None)
        self.long_term.pop(target, None)

    def measure_slowdown(self, now: float) -> float:
        """Return the current latency relative to the baseline; 1 if unknown."""
        if not self.baseline.is_known:
            return 1.0
        overdue = self.list_overdue(now)
        recent = self.compute_mean_slowdown(self.recent, overdue, now)
        trend = recent - self.compute_mean_slowdown(self.long_term, overdue, now)
        return max(1.0, recent + TREND_WEIGHT * trend)

    def compute_mean_slowdown(
        self,
        sums_by_target: dict[str, DecayingSums],
        overdue: dict[str, list[float]],
        now: float,
    ) -> float:
        """Return the mean slowdown of targets, weighted by samples, outliers capped."""
        targets = []
        for target, sums in sums_by_target.items():
            entry = self.compute_slowdown(sums.decay(now), overdue.get(target, []))
            if entry.samples > 0:
                targets.append(entry)
        samples = sum(entry.samples for entry in targets)
        if samples < MIN_SAMPLES:
            return 1.0
        cap = MAX_OVER_MEDIAN * find_median_slowdown(targets)
        return (
            sum(entry.samples * min(cap, entry.slowdown) for entry in targets) / samples
        )

    def compute_slowdown(
        self, sums: LatencySums, overdue: list[float]
    ) -> TargetSlowdown:
        """Return the slowdown of one target from its sums and its overdue waits."""
        base = self.baseline
        actual = sums.first_event_seconds + sums.gap_seconds + sum(overdue)
        firsts = sums.first_events + len(overdue)
        expected = firsts * base.first_event_seconds + sums.gaps * base.gap_seconds
        samples = firsts + sums.gaps
        return TargetSlowdown(samples, actual / expected if expected > 0 else 1.0)

    def list_overdue(self, now: float) -> dict[str, list[float]]:
        """Return the pending waits longer than the baseline, by target, in seconds."""
        baseline = self.baseline.first_event_seconds
        cap = MAX_OVERDUE_RATIO * baseline
        overdue: dict[str, list[float]] = {}
        for wait in self.waiting.values():
            seconds = now - wait.began_at
            if seconds > baseline:
                overdue.setdefault(wait.target, []).append(min(seconds, cap))
        return overdue
