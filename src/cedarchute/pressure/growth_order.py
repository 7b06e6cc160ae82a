"""Decides which of several growing amounts may grow near the bound.

Answers the load of many large answers that are gathered at once: if all of them wait
for room, none is ever complete; if none waits, their sum passes the bound.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.pressure.held_amount import HeldAmount
    from cedarchute.pressure.held_bytes import HeldBytes

# Who is first moves on unless it grows by a read's worth in this time.
STALL_SECONDS: Final = 1.0
# What waits must be worth it: one read of a socket brings up to this much.
SMALL_AMOUNT_BYTES: Final = 65_536


class GrowthOrder:
    """Lets amounts grow near the bound whose known rest fits, and the first that waits.

    The first grows also past what fits, unless answers that are complete will make room
    once their callers have read them: else several that wait would never end. One that
    was let grow is promised the room for its rest.

    Attributes
    ----------
    waiting : list of HeldAmount
        Those whose rest is unknown or doesn't fit, in the order in which they came.
    promised : dict of HeldAmount to int
        The rest of each that was let grow because it fits.
    complete : set of HeldAmount
        Those whose answer is complete and not released yet.
    """

    def __init__(
        self, held: HeldBytes, read_time: Callable[[], float] = time.monotonic
    ) -> None:
        self.held = held
        self.read_time = read_time
        self.waiting: list[HeldAmount] = []
        self.promised: dict[HeldAmount, int] = {}
        self.complete: set[HeldAmount] = set()
        self.first: HeldAmount | None = None
        self.first_count = 0
        self.first_at = 0.0

    def may_grow(self, amount: HeldAmount, rest: int | None = None) -> bool:
        """Return whether `amount` may grow now; it is asked for again if not.

        Parameters
        ----------
        rest : int or None
            How much it will grow; None if that is unknown.
        """
        if amount.count <= SMALL_AMOUNT_BYTES or not self.held.is_near_bound:
            return True
        self.promised.pop(amount, None)
        self.complete = {each for each in self.complete if each.count}
        self.waiting = [each for each in self.waiting if each.count]
        promised = sum(self.promised.values())
        if rest is not None and self.held.has_room(rest + promised):
            self.promised[amount] = rest
            if amount in self.waiting:
                self.waiting.remove(amount)
            return True
        if amount not in self.waiting:
            self.waiting.append(amount)
        self.move_on(self.read_time())
        if self.waiting[0] is not amount:
            return False
        if not self.complete and not self.promised:
            return True
        return rest is None and self.held.has_room(SMALL_AMOUNT_BYTES + promised)

    def move_on(self, now: float) -> None:
        """Put the first one last if it has hardly grown."""
        first = self.waiting[0]
        has_stalled = False
        if first is self.first:
            if now - self.first_at < STALL_SECONDS:
                return
            has_stalled = first.count - self.first_count < SMALL_AMOUNT_BYTES
        if has_stalled:
            self.waiting.append(self.waiting.pop(0))
        self.first = self.waiting[0]
        self.first_count = self.first.count
        self.first_at = now

    def finish(self, amount: HeldAmount, is_complete: bool) -> None:
        """Take out an amount that grows no more."""
        self.promised.pop(amount, None)
        if amount in self.waiting:
            self.waiting.remove(amount)
        if amount is self.first:
            self.first = None
        if is_complete and amount.count > SMALL_AMOUNT_BYTES:
            self.complete.add(amount)
