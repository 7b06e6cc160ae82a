from __future__ import annotations

from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.platform.store_entry import StoreEntry, StoreListing, SwapResult


class FakeStore:
    """The platform's store as one dictionary, shared by all boxes."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.is_down = False
        self.lost_replies = 0
        self.swap_count = 0
        self.is_down_after = None

    def client(self, network, box):
        return FakeStoreClient(self, network, box)


class FakeStoreClient:
    """One box's way to the store; cut like its links to other boxes."""

    def __init__(self, store, network, box):
        self.store = store
        self.network = network
        self.box = box

    def check(self):
        self.network.check_running(self.box)
        if self.store.is_down or self.box in self.network.cut:
            raise StoreUnavailableError("down")

    def get(self, key):
        self.check()
        return self.store.entries.get(key)

    def list(self, prefix):
        self.check()
        found = [e for k, e in self.store.entries.items() if k.startswith(prefix)]
        return StoreListing(tuple(found), self.store.revision)

    def swap(self, key, value, expected, lease=0):
        self.check()
        current = self.store.entries.get(key)
        if (current.version if current else 0) != expected:
            return SwapResult(False, current)
        self.store.revision += 1
        entry = StoreEntry(key, value, self.store.revision)
        self.store.entries[key] = entry
        self.store.swap_count += 1
        if self.store.swap_count == self.store.is_down_after:
            self.store.is_down = True
        if self.store.lost_replies:
            self.store.lost_replies -= 1
            raise StoreUnavailableError("reply lost after the effect")
        return SwapResult(True, entry)

    def delete(self, key, expected):
        self.check()
        current = self.store.entries.get(key)
        if (current.version if current else 0) != expected:
            return SwapResult(False, current)
        del self.store.entries[key]
        return SwapResult(True, None)
