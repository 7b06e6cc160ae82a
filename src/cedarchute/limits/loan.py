"""Calls of a workspace that this box has borrowed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Loan:
    """Borrowed calls that may be used until they run out or expire.

    Attributes
    ----------
    calls : int
        Calls left.
    calls_since_request : int
        Calls of the workspace at this box since the last request to borrow.
    requested_at, expires_at : float
        Monotonic times of the last request and of expiry, in seconds.
    is_request_pending : bool
        Whether a request to the owner is in flight.
    """

    calls: int = 0
    calls_since_request: int = 0
    requested_at: float = float("-inf")
    expires_at: float = float("-inf")
    is_request_pending: bool = False

    def take(self, now: float) -> bool:
        """Use one call if one is left and not expired; return whether one was."""
        if now >= self.expires_at:
            self.calls = 0
        if self.calls < 1:
            return False
        self.calls -= 1
        return True
