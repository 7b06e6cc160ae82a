"""Retries as a share of the traffic."""

from __future__ import annotations

from typing import Final

BURST: Final = 10.0


class RetryBudget:
    """Each first try adds a share of a retry; each retry takes one whole.

    Under overload the retries therefore never add more than that share to the
    load, whatever fails.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.level = BURST

    def record_first_attempt(self) -> None:
        """Add the share that one first try allows."""
        self.level = min(BURST, self.level + self.share)

    def take(self) -> bool:
        """Take one retry if there is one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
