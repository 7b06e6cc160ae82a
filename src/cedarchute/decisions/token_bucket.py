"""A token bucket."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.clock import Clock


class TokenBucket:
    """Grants up to `burst` tokens at once and `rate` a second in the long run.

    Parameters
    ----------
    level : float or None
        Tokens at the start; a full bucket when None.
    """

    def __init__(
        self, rate: float, burst: float, clock: Clock, level: float | None = None
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self.level = burst if level is None else min(burst, level)
        self.updated_at = clock.monotonic()

    def set_rate(self, rate: float, burst: float) -> None:
        """Set the rate and burst; the level stays."""
        self.rate = rate
        self.burst = burst

    def refill(self) -> None:
        """Add the tokens of the time since the last refill."""
        now = self.clock.monotonic()
        self.level = min(self.burst, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now

    def take(self, amount: float = 1.0) -> bool:
        """Take `amount` tokens if available; return whether they were."""
        self.refill()
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def reserve(self, amount: float = 1.0) -> None:
        """Take `amount` tokens even if not yet available; the level may go negative."""
        self.refill()
        self.level -= amount

    def take_up_to(self, amount: int) -> int:
        """Take as many whole tokens as available, up to `amount`; return how many."""
        self.refill()
        taken = max(0, min(amount, int(self.level)))
        self.level -= taken
        return taken

    def seconds_until(self, amount: float = 1.0) -> float:
        """Return the seconds until `amount` tokens are available."""
        self.refill()
        return max(0.0, (amount - self.level) / self.rate)
