"""Sends records to one holder, in batches that span partitions."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event

from cedarchute.copies.messages import (
    AppendEntry,
    AppendReply,
    AppendRequest,
    PartitionAppend,
)
from cedarchute.peers.peer_client import PeerError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.clock import Clock
    from cedarchute.copies.holder import Holder
    from cedarchute.copies.owned_partition import OwnedPartition
    from cedarchute.copies.program_log import ProgramLog
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.peers.peer_client import PeerClient

log = logging.getLogger("cedarchute.copies")

BATCH_BYTES: Final = 1_000_000
RETRY_SECONDS: Final = 0.2


class HolderLink:
    """Sends pending records to one holder from a task of its own, with retries."""

    def __init__(
        self,
        holder: str,
        local: Holder,
        view: View,
        client: PeerClient,
        find_partition: Callable[[str], OwnedPartition | None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.holder = holder
        self.local = local
        self.view = view
        self.client = client
        self.find_partition = find_partition
        self.clock = clock
        self.metrics = metrics
        self.pending: dict[tuple[str, str], None] = {}
        self.pending_pings: set[str] = set()
        self.pending_forgets: dict[tuple[str, str], None] = {}
        self.is_failing = False
        self.work_available = Event()
        self.task = eventlet.spawn(self.send_forever)

    def mark(self, partition: str, program: str) -> None:
        """Queue the missing records of a program for the next batch."""
        self.pending[(partition, program)] = None
        self._notify()

    def ping(self, partition: str) -> None:
        """Queue an append without records, which confirms the owner."""
        self.pending_pings.add(partition)
        self._notify()

    def forget(self, partition: str, program: str) -> None:
        """Queue the deletion of a program on the holder."""
        self.pending_forgets[(partition, program)] = None
        self._notify()

    def _notify(self) -> None:
        if not self.work_available.ready():
            self.work_available.send(None)

    def send_forever(self) -> None:
        """Send pending batches; retry after a failure."""
        while True:
            if not (self.pending or self.pending_pings or self.pending_forgets):
                self.work_available = Event()
                self.work_available.wait()
            try:
                self.send_batch()
                self.is_failing = False
            except PeerError as error:
                if not self.is_failing:
                    log.warning("Append to holder %s failed: %s", self.holder, error)
                self.is_failing = True
                self.metrics.count_retry("copies_append")
                eventlet.sleep(RETRY_SECONDS)

    def send_batch(self) -> None:
        """Send one batch and apply the reply; requeue the batch on failure."""
        request = self.next_batch()
        if not request.appends:
            return
        sent_at = self.clock.monotonic()
        try:
            reply = self.exchange(request)
            if not reply.holder:
                raise PeerError(f"{self.holder} has lost its copies")
        except PeerError:
            self.requeue_batch(request)
            raise
        for result in reply.results:
            partition = self.find_partition(result.partition)
            if partition is None:
                continue
            if result.sealed is not None:
                log.info(
                    "Partition %s was sealed at epoch %d.",
                    partition.name,
                    result.sealed,
                )
                partition.lose()
                continue
            partition.confirmation_times[self.holder] = sent_at
            for program, length in result.lengths.items():
                self.update_length(partition, program, length)

    def exchange(self, request: AppendRequest) -> AppendReply:
        """Send a batch to the holder, on this box or on another one."""
        if self.holder == self.local.name:
            return self.local.on_append(request)
        box = self.view.find_holder(self.holder)
        if box is None:
            raise PeerError(f"no known box has holder {self.holder}")
        return self.client.send(box.peer_address, "append", request, AppendReply)

    def update_length(
        self, partition: OwnedPartition, program: str, length: int
    ) -> None:
        """Update the length that the holder has; queue the rest of the log."""
        program_log = partition.logs.get(program)
        if program_log is None:
            return
        program_log.record_matched(self.holder, length)
        if length < len(program_log):
            self.mark(partition.name, program)

    def next_batch(self) -> AppendRequest:
        """Return the next batch; it stops growing at `BATCH_BYTES`."""
        pings, self.pending_pings = self.pending_pings, set()
        forgotten, self.pending_forgets = self.pending_forgets, {}
        entries: dict[str, list[AppendEntry]] = {name: [] for name in pings}
        for partition, program in forgotten:
            entry = AppendEntry(
                program=program, start=0, previous_epoch=0, records=(), forget=True
            )
            entries.setdefault(partition, []).append(entry)
        size = 0
        while self.pending and size < BATCH_BYTES:
            (name, program), _ = self.pending.popitem()
            partition = self.find_partition(name)
            program_log = partition.logs.get(program) if partition else None
            if partition is None or program_log is None or partition.is_lost:
                continue
            entry = self.make_entry(program, program_log)
            size += sum(len(record.text) for record in entry.records)
            entries.setdefault(name, []).append(entry)
        appends = []
        for name, batch in entries.items():
            partition = self.find_partition(name)
            if partition is not None and not partition.is_lost:
                appends.append(
                    PartitionAppend(
                        partition=name, epoch=partition.epoch, entries=tuple(batch)
                    )
                )
        return AppendRequest(holder=self.holder, appends=tuple(appends))

    def make_entry(self, program: str, program_log: ProgramLog) -> AppendEntry:
        """Return the records of one log that the holder does not have yet."""
        start = min(program_log.matched.get(self.holder, 0), len(program_log))
        previous = program_log.records[start - 1].epoch if start else 0
        return AppendEntry(
            program=program,
            start=start,
            previous_epoch=previous,
            records=tuple(r.to_held_record() for r in program_log.records[start:]),
        )

    def requeue_batch(self, request: AppendRequest) -> None:
        """Queue the entries of a batch again."""
        for append in request.appends:
            for entry in append.entries:
                key = (append.partition, entry.program)
                if entry.forget:
                    self.pending_forgets[key] = None
                else:
                    self.pending[key] = None

    def stop(self) -> None:
        """Stop the sending task."""
        self.task.kill()
