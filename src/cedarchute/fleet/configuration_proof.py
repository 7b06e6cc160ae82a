"""When the configuration of this box was certainly the newest."""

from __future__ import annotations

import time


class ConfigurationProof:
    """The last moment at which somebody asked the store and learnt of nothing newer.

    It counts from when the store was asked, not from its answer: what changed in
    between is not covered. A watch that says nothing proves nothing.

    Attributes
    ----------
    proven_at : float
        Seconds of the monotonic clock, which a change of the time of day leaves alone.
    """

    def __init__(self) -> None:
        self.proven_at = float("-inf")

    def note(self, proven_at: float) -> bool:
        """Take in a proof; return whether it is newer than the last."""
        if proven_at <= self.proven_at:
            return False
        self.proven_at = proven_at
        return True

    @property
    def age_seconds(self) -> float:
        """How long ago the last proof was asked for; infinite without one."""
        return time.monotonic() - self.proven_at
