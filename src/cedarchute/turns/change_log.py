"""The order in which programs changed last."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

# Entries of earlier changes are dropped once they are the larger part, above this.
MIN_ENTRIES: Final = 1000


class ChangeLog:
    """Positions of the last changes, counted from the start of this process.

    Attributes
    ----------
    entries : list of (int, str)
        Position and program of each change, in ascending order; only the last one of a
        program counts.
    """

    def __init__(self) -> None:
        self.position = 0
        self.positions: dict[str, int] = {}
        self.entries: list[tuple[int, str]] = []

    def note(self, program: str) -> None:
        """Record that a program changed."""
        self.position += 1
        self.positions[program] = self.position
        self.entries.append((self.position, program))
        if len(self.entries) > max(MIN_ENTRIES, 2 * len(self.positions)):
            self.entries = [e for e in self.entries if self.is_last(*e)]

    def drop(self, program: str) -> None:
        """Forget a program."""
        self.positions.pop(program, None)

    def is_last(self, position: int, program: str) -> bool:
        """Whether a program has not changed again since."""
        return self.positions.get(program) == position

    def list_after(self, position: int) -> Iterator[tuple[int, str]]:
        """Yield the programs that changed after a position, each with its own."""
        start = bisect_right(self.entries, position, key=lambda entry: entry[0])
        entries = self.entries
        for number in range(start, len(entries)):
            if self.is_last(*entries[number]):
                yield entries[number]
