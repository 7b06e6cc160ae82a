"""Leased entries, with a grace period for those that lapse in a store outage."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

EntryT = TypeVar("EntryT")

# How long an entry that lapsed in an outage is kept: owners that are alive register
# again within two seconds of the recovery, and the change has to be propagated. Longer
# than a leaving target may get calls, so only outages in which entries lapse count.
LAPSE_GRACE_SECONDS: Final = 2.2
# Removals caused by an outage are reported right after the recovery. A removal later
# than this was made by the owner.
LAPSE_DETECTION_SECONDS: Final = 1.0


class LapsingEntries(Generic[EntryT]):
    """Keeps entries whose leases ran out in an outage of the store.

    While the store is available, a removed entry means that its owner has left. After
    an outage, a removed entry is kept for a grace period so that its owner can register
    again.
    """

    def __init__(self, on_gone: Callable[[EntryT], None]) -> None:
        self.on_gone = on_gone
        self.entries: dict[str, EntryT] = {}
        self.lapsed: dict[str, float] = {}
        self.store_recovered_at = float("-inf")

    def put(self, name: str, entry: EntryT) -> EntryT | None:
        """Set an entry; return the previous one."""
        before = self.entries.get(name)
        self.lapsed.pop(name, None)
        self.entries[name] = entry
        return before

    def remove(self, name: str) -> bool:
        """Remove an entry, or start its grace period; return whether it was dropped."""
        if name not in self.entries:
            return False
        if time.monotonic() < self.store_recovered_at + LAPSE_DETECTION_SECONDS:
            deadline = self.store_recovered_at + LAPSE_GRACE_SECONDS
            self.lapsed.setdefault(name, deadline)
            return False
        self.drop(name)
        return True

    def is_lapsed(self, name: str) -> bool:
        """Return whether an entry is kept although it is gone from the store."""
        return name in self.lapsed

    def note_store_back(self) -> None:
        """Record that the store recovered from an outage."""
        self.store_recovered_at = time.monotonic()

    def expire(self) -> list[str]:
        """Drop the entries whose grace period is over; return their names."""
        now = time.monotonic()
        expired = [name for name, deadline in self.lapsed.items() if deadline <= now]
        for name in expired:
            del self.lapsed[name]
            self.drop(name)
        return expired

    def drop(self, name: str) -> None:
        """Drop an entry and notify `on_gone`."""
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.on_gone(entry)
