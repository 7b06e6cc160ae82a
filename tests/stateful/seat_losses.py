"""Counts the disks that are lost, until their successors have caught up."""

from __future__ import annotations


class SeatLosses:
    """What the callers of `lose` may do to disks, judged from outside.

    A disk that never had a seat, or whose seat has been filled again since, is not
    missed. A seat whose complete disk is lost counts once, however often its successor
    is lost before it has caught up.
    """

    def __init__(self, store, allowed):
        self.store = store
        self.allowed = allowed
        self.complete = {}
        self.lost = {}

    def note_serving(self, boxes):
        """Take the seats of all serving holders for filled."""
        for box in boxes:
            if box.process is None or not box.process.serves:
                continue
            number = self.store.table.find_disk(box.process.disk)
            if number is None:
                continue
            self.complete[number] = box.process.disk
            for disk, seats in list(self.lost.items()):
                self.lost[disk] = seats - {number}
                if not self.lost[disk]:
                    del self.lost[disk]

    def find_missed(self, disk):
        """Return the seats whose records are missed with a disk."""
        missed = {n for n, complete in self.complete.items() if complete == disk}
        for table in self.store.tables:
            number = table.find_disk(disk)
            is_now = table is self.store.table
            if number is not None and (is_now or number not in self.complete):
                missed.add(number)
        if any(missed <= seats for seats in self.lost.values()):
            return set()
        return missed

    def may_lose(self, disk):
        return not self.find_missed(disk) or len(self.lost) < self.allowed

    def lose(self, disk):
        """Count a lost disk; raise if one more is lost than the table tolerates."""
        missed = self.find_missed(disk)
        if missed:
            assert len(self.lost) < self.allowed, "the test loses too many disks"
            self.lost[disk] = missed
