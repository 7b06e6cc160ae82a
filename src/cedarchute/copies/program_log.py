"""The log of one program at its home, and which holders have how much of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from cedarchute.copies.log_record import LogRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cedarchute.copies.held_record import HeldRecord


class ProgramLog:
    """Records in order, with the length that each holder is known to have."""

    def __init__(self, records: Iterable[HeldRecord] = ()) -> None:
        self.records = [LogRecord(held.epoch, held.text) for held in records]
        self.packed = 0
        self.matched: dict[str, int] = {}
        self.progress = Event()

    def __len__(self) -> int:
        return len(self.records)

    def add(self, epoch: int, texts: Iterable[str]) -> None:
        """Add records that the owner of `epoch` has written."""
        self.records.extend(LogRecord(epoch, text) for text in texts)

    def pack(self, most: int) -> int:
        """Pack records that holders have, the oldest first.

        Parameters
        ----------
        most : int
            About how many characters to pack at once.

        Returns
        -------
        int
            How many characters were packed.
        """
        done = 0
        while self.packed < len(self.records) and done < most:
            done += self.records[self.packed].pack()
            self.packed += 1
        return done

    def on_matched(self, holder: str, length: int) -> None:
        """Note that `holder` has the first `length` records."""
        self.matched[holder] = length
        self.wake()

    def wake(self) -> None:
        """Let every waiter look again."""
        event, self.progress = self.progress, Event()
        event.send(None)

    def count_holders(self, length: int, holders: Sequence[str]) -> int:
        """Return how many of `holders` have the first `length` records."""
        return sum(1 for holder in holders if self.matched.get(holder, 0) >= length)

    def wait(self, seconds: float) -> bool:
        """Wait for progress; return False when none came in time."""
        event = self.progress
        with eventlet.Timeout(seconds, False):
            event.wait()
            return True
        return False
