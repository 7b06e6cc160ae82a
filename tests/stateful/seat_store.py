"""A store with compare-and-swap whose replies can be lost."""

from __future__ import annotations

from cedarchute.fleet.followers import SEATS_KEY, read_seats
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.platform.store_entry import StoreEntry, SwapResult
from cedarchute.turns.seat_table import EMPTY_TABLE


class SeatStore:
    """One dictionary, shared by all boxes, and every table of seats it ever had."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.tables = [EMPTY_TABLE]

    @property
    def table(self):
        return self.tables[-1]

    def write(self, key, value):
        self.revision += 1
        self.entries[key] = StoreEntry(key, value, self.revision)
        if key == SEATS_KEY:
            table = read_seats(value)
            assert table.version > self.table.version, "a table was replaced"
            self.tables.append(table)
        return self.entries[key]


class SeatStoreClient:
    """The way of one process to the store."""

    def __init__(self, world, process):
        self.world = world
        self.process = process
        self.store = world.store

    def call(self, operation):
        """Run an operation, or lose it or its reply."""
        self.world.reach_point(self.process)
        loss = self.world.take_loss(self.process.name)
        if self.world.is_cut(self.process.name, "store") or loss == "before":
            raise StoreUnavailableError("no way to the store")
        result = operation()
        self.world.reach_point(self.process)
        if loss == "after":
            raise StoreUnavailableError("the reply was lost")
        return result

    def get(self, key):
        return self.call(lambda: self.store.entries.get(key))

    def put(self, key, value, lease=0):
        self.call(lambda: self.store.write(key, value))

    def swap(self, key, value, expected, lease=0):
        def swap():
            current = self.store.entries.get(key)
            if (current.version if current else 0) != expected:
                return SwapResult(False, current)
            return SwapResult(True, self.store.write(key, value))

        return self.call(swap)
