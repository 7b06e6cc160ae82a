"""Stores copies of the program logs of other boxes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarchute.copies.held_record import HeldRecord
from cedarchute.copies.messages import (
    AppendReply,
    LogSummary,
    PartitionAppended,
    ReadReply,
    SealReply,
)
from cedarchute.copies.partition_copy import PartitionCopy, StoredRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarchute.clock import Clock
    from cedarchute.copies.messages import (
        AppendEntry,
        AppendRequest,
        PartitionAppend,
        ReadRequest,
        SealRequest,
    )
    from cedarchute.copies.record_storage import RecordStorage
    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.copies")


class Holder:
    """Accepts appends from the current epoch only, without gaps in a log.

    Parameters
    ----------
    name : str
        Identifies this storage. Requests for another name are rejected, so that
        a box that restarted with an empty storage is not mistaken for a holder
        of copies.
    takeover_seconds : float
        Minimum time after the last append of an owner before its partition can
        be sealed, unless the owner is known to be gone. The owner relies on it
        when it dispatches a call.
    """

    def __init__(
        self,
        name: str,
        storage: RecordStorage,
        takeover_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.storage = storage
        self.takeover_seconds = takeover_seconds
        self.clock = clock
        self.metrics = metrics
        self.partitions = storage.load()
        for copy in self.partitions.values():
            # The time of the last append is not stored; assume a recent one.
            copy.received_at = clock.monotonic()

    def on_append(self, request: AppendRequest) -> AppendReply:
        """Apply a batch and return when it is durable."""
        if request.holder != self.name:
            return AppendReply(holder=False)
        results = tuple(self.append(append) for append in request.appends)
        self.storage.sync()
        return AppendReply(holder=True, results=results)

    def append(self, append: PartitionAppend) -> PartitionAppended:
        """Apply the entries of one partition, unless their epoch is too old."""
        copy = self.partitions.setdefault(append.partition, PartitionCopy())
        if append.epoch < copy.epoch:
            self.metrics.count("copies.append_refused_epoch")
            return PartitionAppended(partition=append.partition, sealed=copy.epoch)
        self.advance_epoch(append.partition, copy, append.epoch)
        copy.received_at = self.clock.monotonic()
        lengths = {}
        for entry in append.entries:
            if entry.forget:
                copy.programs.pop(entry.program, None)
                self.storage.record_forgotten(append.partition, entry.program)
                lengths[entry.program] = 0
            else:
                lengths[entry.program] = self.append_entry(
                    append.partition, copy, entry
                )
        return PartitionAppended(partition=append.partition, lengths=lengths)

    def advance_epoch(self, partition: str, copy: PartitionCopy, epoch: int) -> None:
        """Store a higher epoch; appends of lower ones are rejected from now on."""
        if epoch > copy.epoch:
            copy.epoch = epoch
            self.storage.record_epoch(partition, epoch)

    def append_entry(
        self, partition: str, copy: PartitionCopy, entry: AppendEntry
    ) -> int:
        """Append the records of one program; return the length of the matching log."""
        records = copy.programs.setdefault(entry.program, [])
        if entry.start > len(records):
            return len(records)
        if entry.start and records[entry.start - 1].epoch != entry.previous_epoch:
            del records[entry.start - 1 :]
            return len(records)
        position = entry.start
        for record in entry.records:
            if position < len(records) and records[position].epoch != record.epoch:
                del records[position:]
            if position == len(records):
                handle = self.storage.put(
                    partition, entry.program, position, record.epoch, record.text
                )
                records.append(StoredRecord(record.epoch, handle))
            position += 1
        return position

    def on_seal(self, request: SealRequest) -> SealReply:
        """Reject lower epochs from now on; return a summary of the stored logs."""
        if request.holder != self.name:
            return SealReply(refused="other holder")
        copy = self.partitions.setdefault(request.partition, PartitionCopy())
        if request.epoch < copy.epoch:
            return SealReply(refused="higher epoch")
        silent_seconds = self.clock.monotonic() - copy.received_at
        is_same_epoch = request.epoch == copy.epoch
        if (
            not is_same_epoch
            and not request.owner_gone
            and silent_seconds < self.takeover_seconds
        ):
            return SealReply(refused="owner heard")
        self.advance_epoch(request.partition, copy, request.epoch)
        self.storage.sync()
        logs = {
            program: LogSummary(length=len(records), last_epoch=records[-1].epoch)
            for program, records in copy.programs.items()
            if records
        }
        log.info("Sealed %s at epoch %d.", request.partition, request.epoch)
        return SealReply(logs=logs)

    def on_read(self, request: ReadRequest) -> ReadReply:
        """Return the records of one program."""
        if request.holder != self.name:
            return ReadReply(records=None)
        return ReadReply(records=self.read(request.partition, request.program))

    def read(self, partition: str, program: str) -> tuple[HeldRecord, ...] | None:
        """Return the records of `program`, or None when there are none."""
        copy = self.partitions.get(partition)
        records = copy.programs.get(program) if copy else None
        if records is None:
            return None
        return tuple(
            HeldRecord(epoch=record.epoch, text=self.storage.get(record.handle))
            for record in records
        )

    def drop(self, partition: str) -> None:
        """Delete the copies of a partition that this box no longer holds."""
        if self.partitions.pop(partition, None) is not None:
            self.storage.record_forgotten(partition, None)

    @property
    def held_programs(self) -> Iterable[str]:
        """The ids of the programs with a copy here."""
        for copy in self.partitions.values():
            yield from copy.programs
