"""Calls of a workspace that this box has borrowed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Loan:
    """Calls that may be used until they run out or it is too late.

    Attributes
    ----------
    calls : int
        What is left of them.
    used_since : int
        Calls of the workspace here since the last time of asking.
    asked_at, ends_at : float
        Monotonic times.
    is_asking : bool
        Whether an answer of the keeper is awaited.
    """

    calls: int = 0
    used_since: int = 0
    asked_at: float = float("-inf")
    ends_at: float = float("-inf")
    is_asking: bool = False

    def take(self, now: float) -> bool:
        """Use one call if there is one that is not too late."""
        if now >= self.ends_at:
            self.calls = 0
        if self.calls < 1:
            return False
        self.calls -= 1
        return True
