"""Load and latency of one target, as observed by this box."""

from __future__ import annotations

import time
from typing import Final

# Weight of the newest sample in the moving averages, which cover about ten samples.
EWMA_WEIGHT: Final = 0.15
# A target that was slow or fast for a moment counts as usual again after about twice
# this time.
SURGE_HALF_LIFE_SECONDS: Final = 0.5
# Backoff after a failure, doubled with each consecutive one: long enough for a restart
# to show in the registry, short after a lost packet.
INITIAL_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 4.0
# A target is silent once a call waits there and nothing came from it for this many
# times its mean latency, and for this time at least.
SILENT_LATENCIES: Final = 4.0
MIN_SILENT_SECONDS: Final = 0.5
# How long other boxes are told of a failure; a target that restarts is back after about
# as long.
RECENT_FAILURE_SECONDS: Final = 1.0


class TargetLoad:
    """Calls in flight at a target, its response time and its failure rate.

    Attributes
    ----------
    failure_share : float
        Moving average of the share of calls that failed without a response. A target
        may fail some calls while its health checks pass.
    last_seconds : float
        Duration of the last response.
    alive_at : float
        Latest time at which a call was sent there that it answered.
    last_sent_at : float
        When a call was sent there last.
    unanswered : dict of str to float
        Ids of the calls sent there that have not ended, and when each was sent.
    received_at : float
        When bytes of an answer came from there last.
    leaving_known_at : float
        When this box learned that the target leaves.
    used_at, answered_at, failed_at : float
        When a call there ended last, was answered last and failed last; monotonic
        seconds.
    """

    def __init__(self) -> None:
        self.active = 0
        self.mean_latency_seconds: float | None = None
        self.failures = 0
        self.failure_share = 0.0
        self.backoff_until = 0.0
        self.last_seconds = 0.0
        self.alive_at = float("-inf")
        self.last_sent_at = float("-inf")
        self.received_at = float("-inf")
        self.leaving_known_at = float("-inf")
        self.unanswered: dict[str, float] = {}
        self.used_at = float("-inf")
        self.answered_at = float("-inf")
        self.failed_at = float("-inf")

    @property
    def is_backing_off(self) -> bool:
        """Whether the target is in backoff after a failure or an overload."""
        return time.monotonic() < self.backoff_until

    @property
    def is_responsive(self) -> bool:
        """Whether the target is neither in backoff nor silent."""
        return not self.is_backing_off and not self.is_silent

    @property
    def is_silent(self) -> bool:
        """Whether calls wait there for much longer than its answers take.

        A process that stands still reads what it was sent once it goes on, however
        late that is, and nothing can be taken back.
        """
        oldest = next(iter(self.unanswered.values()), None)
        if oldest is None:
            return False
        usual_seconds = self.mean_latency_seconds or MIN_SILENT_SECONDS
        max_seconds = max(MIN_SILENT_SECONDS, SILENT_LATENCIES * usual_seconds)
        return time.monotonic() - max(oldest, self.received_at) > max_seconds

    def record_send(self, call_id: str) -> None:
        """Record that a call was sent; it is unanswered until `record_end`."""
        self.last_sent_at = self.unanswered[call_id] = time.monotonic()

    def record_end(self, call_id: str) -> None:
        """Record that a call there has ended, answered or not."""
        self.unanswered.pop(call_id, None)

    def record_answer(self, seconds: float) -> None:
        """Record a response and the time that it took."""
        self.failures = 0
        self.backoff_until = 0.0
        self.received_at = time.monotonic()
        self.last_seconds = seconds
        self.used_at = self.answered_at = time.monotonic()
        self.failure_share -= EWMA_WEIGHT * self.failure_share
        if self.mean_latency_seconds is None:
            self.mean_latency_seconds = seconds
        else:
            self.mean_latency_seconds += EWMA_WEIGHT * (
                seconds - self.mean_latency_seconds
            )

    def estimate_seconds(self, now: float) -> float | None:
        """Return the expected duration of a response, None if none is known.

        Begins at the last one and returns to the mean, since targets are often slow
        for less than a second.
        """
        if self.mean_latency_seconds is None:
            return None
        surge = self.last_seconds - self.mean_latency_seconds
        left = 0.5 ** ((now - self.answered_at) / SURGE_HALF_LIFE_SECONDS)
        return self.mean_latency_seconds + left * surge

    def find_recent_failure_share(self, now: float) -> float:
        """Return the share of failures; 0 if the last one was long ago.

        The share alone stays until further calls are answered, which may be never.
        """
        is_recent = now - self.failed_at <= RECENT_FAILURE_SECONDS
        return self.failure_share if is_recent else 0.0

    def record_failure(self) -> None:
        """Record a call that failed without a response."""
        backoff = INITIAL_BACKOFF_SECONDS * 2**self.failures
        self.failures = min(self.failures + 1, 8)
        self.failure_share += EWMA_WEIGHT * (1.0 - self.failure_share)
        self.used_at = self.failed_at = time.monotonic()
        self.backoff_until = self.used_at + min(backoff, MAX_BACKOFF_SECONDS)

    def record_overload(self, seconds: float) -> None:
        """Record that the target rejected a call because it is at capacity."""
        self.backoff_until = max(self.backoff_until, time.monotonic() + seconds)
