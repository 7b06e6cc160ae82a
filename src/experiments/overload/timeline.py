"""Virtual time: what is to happen, in order."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Timeline:
    """Runs what was planned, the earliest first; time stands still meanwhile."""

    def __init__(self) -> None:
        self.now = 0.0
        self.planned: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Plan `act` for `seconds` from now."""
        heapq.heappush(self.planned, (self.now + seconds, next(self.numbers), act))

    def run(self, until: float) -> None:
        """Run all that is planned up to `until`, in seconds."""
        while self.planned and self.planned[0][0] <= until:
            self.now, _, act = heapq.heappop(self.planned)
            act()
        self.now = until
