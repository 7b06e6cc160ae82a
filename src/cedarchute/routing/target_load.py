"""What this box knows of one target from its own traffic."""

from __future__ import annotations

import time
from typing import Final

# Weight of the newest answer in the mean; about the last ten answers count.
NEWEST_WEIGHT: Final = 0.15
# A target that failed is left alone for this long, doubled with each failure in a
# row: long enough for a restart to show in the registry, short for a lost packet.
FIRST_PAUSE_SECONDS: Final = 0.5
LONGEST_PAUSE_SECONDS: Final = 4.0


class TargetLoad:
    """Calls under way, how long answers take, and how often they fail.

    Attributes
    ----------
    failure_share : float
        Share of the last ten calls or so that failed without an answer. A target may
        fail part of its calls while its health is good.
    """

    def __init__(self) -> None:
        self.active = 0
        self.mean_latency_seconds: float | None = None
        self.failures = 0
        self.failure_share = 0.0
        self.paused_until = 0.0

    @property
    def is_paused(self) -> bool:
        """Whether the target failed a moment ago."""
        return time.monotonic() < self.paused_until

    def record_answer(self, seconds: float) -> None:
        """Take in an answer and how long it took."""
        self.failures = 0
        self.paused_until = 0.0
        self.failure_share -= NEWEST_WEIGHT * self.failure_share
        if self.mean_latency_seconds is None:
            self.mean_latency_seconds = seconds
        else:
            self.mean_latency_seconds += NEWEST_WEIGHT * (
                seconds - self.mean_latency_seconds
            )

    def record_failure(self) -> None:
        """Take in that the target failed without an answer."""
        pause = FIRST_PAUSE_SECONDS * 2**self.failures
        self.failures = min(self.failures + 1, 8)
        self.failure_share += NEWEST_WEIGHT * (1.0 - self.failure_share)
        self.paused_until = time.monotonic() + min(pause, LONGEST_PAUSE_SECONDS)

    def record_overload(self, seconds: float) -> None:
        """Take in that the target refused for want of room."""
        self.paused_until = max(self.paused_until, time.monotonic() + seconds)
