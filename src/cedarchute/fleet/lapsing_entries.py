"""Entries under leases, told from entries that only lapsed with the store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

EntryT = TypeVar("EntryT")

# Entries that lapsed while the store was away come back within two seconds of its
# return if their owner lives; the rest is for the way.
LAPSE_GRACE_SECONDS: Final = 2.2
# Leases run out while the store is away, so what lapsed is told at its return. What
# goes later than this has left.
LAPSE_SEEN_SECONDS: Final = 1.0


class LapsingEntries(Generic[EntryT]):
    """Keeps an entry whose lease ran out around an outage of the store.

    An entry that goes while the store is sound means that its owner has left. One
    that goes around an outage is kept until it had time to come back.
    """

    def __init__(self, on_gone: Callable[[EntryT], None]) -> None:
        self.on_gone = on_gone
        self.entries: dict[str, EntryT] = {}
        self.lapsed: dict[str, float] = {}
        self.store_back_at = float("-inf")

    def put(self, name: str, entry: EntryT) -> EntryT | None:
        """Take in an entry; return the one before."""
        before = self.entries.get(name)
        self.lapsed.pop(name, None)
        self.entries[name] = entry
        return before

    def remove(self, name: str) -> bool:
        """Take in that an entry is gone; return whether it was dropped at once."""
        if name not in self.entries:
            return False
        if time.monotonic() < self.store_back_at + LAPSE_SEEN_SECONDS:
            until = self.store_back_at + LAPSE_GRACE_SECONDS
            self.lapsed.setdefault(name, until)
            return False
        self.drop(name)
        return True

    def note_store_back(self) -> None:
        """Take in that the store answers again after an outage."""
        self.store_back_at = time.monotonic()

    def expire(self) -> list[str]:
        """Drop the entries that did not come back; return their names."""
        now = time.monotonic()
        over = [name for name, until in self.lapsed.items() if until <= now]
        for name in over:
            del self.lapsed[name]
            self.drop(name)
        return over

    def drop(self, name: str) -> None:
        """Forget an entry."""
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.on_gone(entry)
