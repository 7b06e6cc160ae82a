"""Until when a box may let calls pass by the keys that it knows.

Answers the moment at which an operator takes a key away while some boxes are cut off,
frozen or behind: they cannot know, so each has to stop by itself. A box lets a call
pass only while it can prove that its configuration was the newest a short time ago.
"""

from __future__ import annotations

from typing import Final

# Between the check of a call and its send, and for what clocks of two boxes differ in
# rate over a few seconds.
MARGIN_SECONDS: Final = 0.1
# Logs and metrics tell the age of a proof that never was as this: infinity is no JSON,
# and makes a sum of ages useless.
UNKNOWN_AGE_SECONDS: Final = 1e6


def cap_age(age_seconds: float) -> float:
    """Return the age of a proof as logs and metrics tell it."""
    return round(min(age_seconds, UNKNOWN_AGE_SECONDS), 3)


class ProofAgeLimit:
    """How old a proof may be.

    Parameters
    ----------
    revoke_seconds : float
        Within which a key that was taken away has to be of no use anywhere; 0 when
        operators set no bound.
    """

    def __init__(self, revoke_seconds: float) -> None:
        self.most_seconds = float("inf")
        if revoke_seconds > 0:
            self.most_seconds = max(0.0, revoke_seconds - MARGIN_SECONDS)

    def accepts(self, age_seconds: float) -> bool:
        """Whether a proof of this age is good enough."""
        return age_seconds < self.most_seconds or self.is_unbounded

    @property
    def is_unbounded(self) -> bool:
        """Whether no proof is needed."""
        return self.most_seconds == float("inf")
