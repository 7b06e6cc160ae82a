"""Fakes at the interfaces, for tests of one part."""

from __future__ import annotations

import time

from cedarchute.copies.held_record import HeldRecord
from cedarchute.copies.messages import AppendEntry, AppendRequest, PartitionAppend


class StillClock:
    """A clock that a test moves."""

    def __init__(self):
        self.now = 1000.0

    def wall(self):
        return self.now

    def monotonic(self):
        return self.now


class RunningClock:
    """The machine's clock plus what a test adds."""

    def __init__(self):
        self.added = 0.0

    def wall(self):
        return time.time() + self.added

    def monotonic(self):
        return time.monotonic() + self.added


def make_append(holder, epoch, start, previous_epoch, *texts, program="p"):
    records = tuple(HeldRecord(epoch=epoch, text=text) for text in texts)
    entry = AppendEntry(
        program=program, start=start, previous_epoch=previous_epoch, records=records
    )
    append = PartitionAppend(partition="box.1", epoch=epoch, entries=(entry,))
    return AppendRequest(holder=holder, appends=(append,))
