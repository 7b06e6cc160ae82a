"""When something that this box knows was last confirmed by the store."""

from __future__ import annotations

import time


class FreshnessProof:
    """Time of the latest store query that found nothing newer.

    Counts from when the query was sent, since it does not cover changes made while the
    response was under way. An idle watch is no proof.

    Attributes
    ----------
    proven_at : float
        Seconds, on the monotonic clock.
    """

    def __init__(self) -> None:
        self.proven_at = float("-inf")

    def record(self, proven_at: float) -> bool:
        """Record a proof; return whether it is newer than the last one."""
        if proven_at <= self.proven_at:
            return False
        self.proven_at = proven_at
        return True

    @property
    def age_seconds(self) -> float:
        """Seconds since the query of the last proof; infinite without one."""
        return time.monotonic() - self.proven_at
