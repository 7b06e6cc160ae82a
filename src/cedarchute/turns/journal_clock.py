"""Tells from a journal how long ago programs were used."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class JournalClock:
    """Counts time by the uptimes that the processes of a journal noted.

    Time in which no process ran is not counted, and a use counts from the next noted
    uptime. So programs seem to have been used later than they were, never earlier, and
    the clock of the machine plays no part.
    """

    def __init__(self) -> None:
        self.earlier_seconds = 0.0
        self.uptime = 0.0
        self.used_at: dict[str, float] = {}
        self.used_since: dict[str, float] = {}

    @property
    def now(self) -> float:
        """The time of the last noted uptime."""
        return self.earlier_seconds + self.uptime

    def note_use(self, program: str, idle_seconds: float = 0.0) -> None:
        """Note that a program was last used so long before its record was written."""
        self.used_since[program] = idle_seconds

    def forget(self, program: str) -> None:
        """Forget a program."""
        self.used_at.pop(program, None)
        self.used_since.pop(program, None)

    def advance(self, uptime: float) -> None:
        """Note an uptime; a smaller one than before is that of another process."""
        if uptime < self.uptime:
            self.earlier_seconds += self.uptime
        self.uptime = uptime
        self.set_times()

    def set_times(self) -> None:
        """Date the uses since the uptime before."""
        for program, idle_seconds in self.used_since.items():
            self.used_at[program] = self.now - idle_seconds
        self.used_since.clear()

    def list_idle(self) -> Iterator[tuple[str, float]]:
        """Yield each program with the time since its last use, at the end."""
        self.set_times()
        for program, used_at in self.used_at.items():
            yield program, self.now - used_at
