"""What bounds a box in what it holds for all peers together."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.pressure.descriptor_budget import DescriptorBudget, ListenerKind
    from cedarchute.pressure.held_bytes import HeldBytes


class PeerBounds(Record):
    """Shared by all listeners of a box.

    Attributes
    ----------
    held : HeldBytes
        Counts the bytes that are held.
    budget : DescriptorBudget
        Divides descriptors and the memory of connections.
    sent_bytes : int
        Copies of turns that may be on their way to holders at once.
    stored_bytes : int
        Turns that a holder may have in memory before it rejects further ones.
    """

    held: HeldBytes
    budget: DescriptorBudget
    metrics: Metrics
    sent_bytes: int
    stored_bytes: int

    def limit_connections(self, kind: ListenerKind) -> Callable[[], int]:
        """Return what tells how many connections a listener may have."""
        return partial(self.budget.find_max_connections, kind)
