"""Deals things out to boxes, alike on every box and without a word."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from cedarchute.membership.rank import rank

if TYPE_CHECKING:
    from collections.abc import Iterable


class BoxRing:
    """Boxes in the order of a digest of their names; each has what comes before it.

    A box that joins or leaves changes the share of one other box only.
    """

    def __init__(self, names: Iterable[str]) -> None:
        placed = sorted((rank("ring", name), name) for name in names)
        self.places = [place for place, _ in placed]
        self.names = tuple(name for _, name in placed)

    def find_owner(self, thing: str) -> str | None:
        """Return the box that looks after a thing; None when there is no box."""
        if not self.names:
            return None
        position = bisect_left(self.places, rank("thing", thing))
        return self.names[position % len(self.names)]
