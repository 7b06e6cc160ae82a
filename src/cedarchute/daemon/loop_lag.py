"""How far a process is behind with its work."""

from __future__ import annotations

from typing import Final

# Weight of the newest lag in the mean: about the last two seconds count.
NEWEST_WEIGHT: Final = 0.2
# A process that wakes this much late on average, in seconds, has more work than its
# share of the processor: each call waits that long several times on its way.
BEHIND_SECONDS: Final = 0.03


class LoopLag:
    """Learns from sleeps that took longer than asked for; costs no wake-up itself."""

    def __init__(self) -> None:
        self.seconds = 0.0

    @property
    def is_behind(self) -> bool:
        """Whether the process lately woke late on average."""
        return self.seconds > BEHIND_SECONDS

    def record_sleep(self, asked_seconds: float, slept_seconds: float) -> None:
        """Take in how long a sleep took."""
        late = max(0.0, slept_seconds - asked_seconds)
        self.seconds += NEWEST_WEIGHT * (late - self.seconds)
