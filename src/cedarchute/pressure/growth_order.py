"""Decides which of several growing amounts may grow near the bound.

Answers the load of many large answers that are gathered at once: if all of them wait
for room, none is ever complete; if none waits, their sum passes the bound.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cedarchute.pressure.held_amount import HeldAmount
    from cedarchute.pressure.held_bytes import HeldBytes

# What waits must be worth it: one read of a socket brings up to this much.
SMALL_AMOUNT_BYTES: Final = 65_536


class GrowthOrder:
    """Lets one large amount grow at a time near the bound, the first that waited.

    It is the one until it is released: its answer is complete by then and was sent, or
    was given up.
    """

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self.amounts: list[HeldAmount] = []

    def may_grow(self, amount: HeldAmount) -> bool:
        """Return whether `amount` may grow now; it is asked for again if not."""
        if amount.count <= SMALL_AMOUNT_BYTES or not self.held.is_near_bound:
            return True
        self.amounts = [each for each in self.amounts if each.count]
        if amount not in self.amounts:
            self.amounts.append(amount)
        return self.amounts[0] is amount
