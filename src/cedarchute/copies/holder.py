"""Holds copies of the logs of other boxes' programs."""

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
    """Takes an append only from the current epoch and only at the next index.

    Parameters
    ----------
    name : str
        Names this storage; a request for another one is turned away, so that a
        box that restarted with nothing is never taken for one that has copies.
    takeover_seconds : float
        For how long after the last append a partition is not sealed, unless its
        owner is known to be gone. The owner relies on it before it dispatches.
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
            # Whatever was heard before the restart counts as heard just now.
            copy.heard_at = clock.monotonic()

    def on_append(self, request: AppendRequest) -> AppendReply:
        """Take in one batch."""
        if request.holder != self.name:
            return AppendReply(holder=False)
        results = tuple(self.append(append) for append in request.appends)
        self.storage.sync()
        return AppendReply(holder=True, results=results)

    def append(self, append: PartitionAppend) -> PartitionAppended:
        """Take in the entries of one partition."""
        copy = self.partitions.setdefault(append.partition, PartitionCopy())
        if append.epoch < copy.epoch:
            self.metrics.count("copies.append_refused_epoch")
            return PartitionAppended(partition=append.partition, sealed=copy.epoch)
        self.raise_epoch(append.partition, copy, append.epoch)
        copy.heard_at = self.clock.monotonic()
        lengths = {}
        for entry in append.entries:
            if entry.forget:
                copy.programs.pop(entry.program, None)
                self.storage.note_forgotten(append.partition, entry.program)
                lengths[entry.program] = 0
            else:
                lengths[entry.program] = self.append_entry(
                    append.partition, copy, entry
                )
        return PartitionAppended(partition=append.partition, lengths=lengths)

    def raise_epoch(self, partition: str, copy: PartitionCopy, epoch: int) -> None:
        """Refuse lower epochs from now on."""
        if epoch > copy.epoch:
            copy.epoch = epoch
            self.storage.note_epoch(partition, epoch)

    def append_entry(
        self, partition: str, copy: PartitionCopy, entry: AppendEntry
    ) -> int:
        """Take in the records of one program; return how many match now."""
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
        """Refuse lower epochs from now on and say what is held."""
        if request.holder != self.name:
            return SealReply(refused="other holder")
        copy = self.partitions.setdefault(request.partition, PartitionCopy())
        if request.epoch < copy.epoch:
            return SealReply(refused="higher epoch")
        silent = self.clock.monotonic() - copy.heard_at
        is_resumed = request.epoch == copy.epoch
        if not is_resumed and not request.owner_gone and silent < self.takeover_seconds:
            return SealReply(refused="owner heard")
        self.raise_epoch(request.partition, copy, request.epoch)
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
        """Forget a partition that this box holds no copies of any more."""
        if self.partitions.pop(partition, None) is not None:
            self.storage.note_forgotten(partition, None)

    @property
    def held_programs(self) -> Iterable[str]:
        """The ids of the programs with a copy here."""
        for copy in self.partitions.values():
            yield from copy.programs
