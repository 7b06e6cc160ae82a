"""How long a box may admit calls by the workspace keys that it knows.

A box that is partitioned, frozen or behind can't know that a key was revoked. It
therefore admits calls only while it holds a recent freshness proof: evidence that its
configuration was the newest.
"""

from __future__ import annotations

from typing import Final

# Covers the time between checking a call and sending it, and the clock drift between
# two boxes over a few seconds.
MARGIN_SECONDS: Final = 0.1
# Stands for an infinite age in logs and metrics: JSON has no infinity, and it would
# make sums useless.
UNKNOWN_AGE_SECONDS: Final = 1e6


def cap_age(age_seconds: float) -> float:
    """Return the age of a freshness proof, rounded and capped, for logs and metrics."""
    return round(min(age_seconds, UNKNOWN_AGE_SECONDS), 3)


class ProofAgeLimit:
    """The greatest age of a freshness proof by which calls are admitted.

    Parameters
    ----------
    revoke_seconds : float
        Time within which a revoked key must be rejected everywhere; 0 for no bound.
    """

    def __init__(self, revoke_seconds: float) -> None:
        self.max_age_seconds = float("inf")
        if revoke_seconds > 0:
            self.max_age_seconds = max(0.0, revoke_seconds - MARGIN_SECONDS)

    def accepts(self, age_seconds: float) -> bool:
        """Return whether a proof of this age is recent enough."""
        return age_seconds < self.max_age_seconds or self.is_unbounded

    @property
    def is_unbounded(self) -> bool:
        """Whether calls are admitted without a proof."""
        return self.max_age_seconds == float("inf")
