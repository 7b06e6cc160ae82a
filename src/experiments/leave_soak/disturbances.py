"""What befell the processes of a site, and when."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator


class Disturbance(NamedTuple):
    """A time, in Unix seconds, in which a process was not itself."""

    name: str
    began: float
    ended: float


class Disturbances:
    """Keeps disturbances; those under way have no end yet."""

    def __init__(self) -> None:
        self.over: list[Disturbance] = []
        self.under_way: dict[str, float] = {}

    @contextmanager
    def record(self, name: str) -> Iterator[None]:
        """Record that a process is disturbed within the block."""
        began = self.under_way[name] = time.time()
        try:
            yield
        finally:
            del self.under_way[name]
            self.over.append(Disturbance(name, began, time.time()))

    def has(self, name: str, since: float, until: float) -> bool:
        """Return whether a process was disturbed at any time of a span."""
        return any(
            each.name == name and each.began <= until and each.ended >= since
            for each in self.over
        )
