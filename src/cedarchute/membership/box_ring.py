"""Consistent hashing of keys to boxes."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from cedarchute.membership.rank import rank

if TYPE_CHECKING:
    from collections.abc import Iterable


class BoxRing:
    """A hash ring of boxes; a key belongs to the first box at or after its hash.

    Every box computes the same owners without coordination. When a box joins or
    leaves, keys move between it and one other box only.
    """

    def __init__(self, names: Iterable[str]) -> None:
        sorted_boxes = sorted((rank("ring", name), name) for name in names)
        self.positions = [position for position, _ in sorted_boxes]
        self.names = tuple(name for _, name in sorted_boxes)

    def find_owner(self, key: str) -> str | None:
        """Return the name of the box that owns `key`; None if the ring is empty."""
        if not self.names:
            return None
        position = bisect_left(self.positions, rank("thing", key))
        return self.names[position % len(self.names)]
