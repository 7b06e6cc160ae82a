"""A bucket that refills at a rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.clock import Clock


class TokenBucket:
    """Grants up to `burst` at once and `rate` a second in the long run.

    Parameters
    ----------
    level : float or None
        What is there at the start; the whole burst when not given.
    """

    def __init__(
        self, rate: float, burst: float, clock: Clock, level: float | None = None
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self.level = burst if level is None else min(burst, level)
        self.updated_at = clock.monotonic()

    def change(self, rate: float, burst: float) -> None:
        """Go on at another rate; what is there stays."""
        self.rate = rate
        self.burst = burst

    def refill(self) -> None:
        """Add what the time since the last call brought."""
        now = self.clock.monotonic()
        self.level = min(self.burst, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now

    def take(self, amount: float = 1.0) -> bool:
        """Take `amount` if it is there."""
        self.refill()
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def take_ahead(self, amount: float = 1.0) -> None:
        """Take `amount` also if it only comes later; what is left may be negative."""
        self.refill()
        self.level -= amount

    def take_most(self, amount: int) -> int:
        """Take as many whole units as are there, up to `amount`; return how many."""
        self.refill()
        taken = max(0, min(amount, int(self.level)))
        self.level -= taken
        return taken

    def seconds_until(self, amount: float = 1.0) -> float:
        """Return how long it takes until `amount` is there."""
        self.refill()
        return max(0.0, (amount - self.level) / self.rate)
