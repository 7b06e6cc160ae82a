"""The log of one program at its owner, with the progress of each holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from cedarchute.copies.log_record import LogRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cedarchute.copies.held_record import HeldRecord


class ProgramLog:
    """Ordered records, and the length that each holder has acknowledged."""

    def __init__(self, records: Iterable[HeldRecord] = ()) -> None:
        self.records = [LogRecord(held.epoch, held.text) for held in records]
        self.compressed_count = 0
        self.matched: dict[str, int] = {}
        self.progress = Event()

    def __len__(self) -> int:
        return len(self.records)

    def add(self, epoch: int, texts: Iterable[str]) -> None:
        """Append records under `epoch`."""
        self.records.extend(LogRecord(epoch, text) for text in texts)

    def pack(self, max_characters: int) -> int:
        """Compress records, the oldest first.

        Parameters
        ----------
        max_characters : int
            Stop after the record that reaches this number of characters.

        Returns
        -------
        int
            Number of characters that were compressed.
        """
        compressed = 0
        while self.compressed_count < len(self.records) and compressed < max_characters:
            compressed += self.records[self.compressed_count].compress()
            self.compressed_count += 1
        return compressed

    def record_matched(self, holder: str, length: int) -> None:
        """Record that `holder` has the first `length` records."""
        self.matched[holder] = length
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wake every task in `wait`."""
        event, self.progress = self.progress, Event()
        event.send(None)

    def count_holders(self, length: int, holders: Sequence[str]) -> int:
        """Return how many of `holders` have the first `length` records."""
        return sum(1 for holder in holders if self.matched.get(holder, 0) >= length)

    def wait(self, seconds: float) -> bool:
        """Wait for `notify_waiters`; return False on a timeout."""
        event = self.progress
        with eventlet.Timeout(seconds, False):
            event.wait()
            return True
        return False
