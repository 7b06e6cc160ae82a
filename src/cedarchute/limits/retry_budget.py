"""A budget that limits retries to a share of the traffic."""

from __future__ import annotations

from typing import Final

BURST: Final = 10.0


class RetryBudget:
    """Each first attempt adds a share of a retry to the budget; a retry takes one.

    This bounds the load that retries add under overload, whatever fails.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.level = BURST

    def record_first_attempt(self) -> None:
        """Add the share of a first attempt to the budget."""
        self.level = min(BURST, self.level + self.share)

    def take(self) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
