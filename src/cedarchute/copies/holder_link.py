"""Sends records to one holder, in batches over all partitions."""

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
    """One task for one holder: takes what is due, sends it, notes the reply."""

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
        self.due: dict[tuple[str, str], None] = {}
        self.pings: set[str] = set()
        self.forgotten: dict[tuple[str, str], None] = {}
        self.is_failing = False
        self.wake = Event()
        self.task = eventlet.spawn(self.send_forever)

    def mark(self, partition: str, program: str) -> None:
        """Note that records of a program are due."""
        self.due[(partition, program)] = None
        self._wake()

    def ping(self, partition: str) -> None:
        """Ask the holder to confirm the owner, with no records."""
        self.pings.add(partition)
        self._wake()

    def forget(self, partition: str, program: str) -> None:
        """Ask the holder to forget a program."""
        self.forgotten[(partition, program)] = None
        self._wake()

    def _wake(self) -> None:
        if not self.wake.ready():
            self.wake.send(None)

    def send_forever(self) -> None:
        """Send whatever is due, again after a failure."""
        while True:
            if not (self.due or self.pings or self.forgotten):
                self.wake = Event()
                self.wake.wait()
            try:
                self.send_once()
                self.is_failing = False
            except PeerError as error:
                if not self.is_failing:
                    log.warning("Holder %s does not answer: %s", self.holder, error)
                self.is_failing = True
                self.metrics.count_retry("copies_append")
                eventlet.sleep(RETRY_SECONDS)

    def send_once(self) -> None:
        """Send one batch and note what the holder has now."""
        request = self.take_batch()
        if not request.appends:
            return
        started = self.clock.monotonic()
        try:
            reply = self.exchange(request)
            if not reply.holder:
                raise PeerError(f"{self.holder} has no copies any more")
        except PeerError:
            self.put_back(request)
            raise
        for result in reply.results:
            partition = self.find_partition(result.partition)
            if partition is None:
                continue
            if result.sealed is not None:
                log.info("Partition %s sealed at %d.", partition.name, result.sealed)
                partition.lose()
                continue
            partition.confirmed[self.holder] = started
            for program, length in result.lengths.items():
                self.on_length(partition, program, length)

    def exchange(self, request: AppendRequest) -> AppendReply:
        """Send a batch to the holder, wherever it is."""
        if self.holder == self.local.name:
            return self.local.on_append(request)
        box = self.view.find_holder(self.holder)
        if box is None:
            raise PeerError(f"no box holds {self.holder}")
        return self.client.send(box.peer_address, "append", request, AppendReply)

    def on_length(self, partition: OwnedPartition, program: str, length: int) -> None:
        """Note how much the holder has, and send the rest."""
        program_log = partition.logs.get(program)
        if program_log is None:
            return
        program_log.on_matched(self.holder, length)
        if length < len(program_log):
            self.mark(partition.name, program)

    def take_batch(self) -> AppendRequest:
        """Return the next batch, up to a bound in bytes."""
        pings, self.pings = self.pings, set()
        forgotten, self.forgotten = self.forgotten, {}
        entries: dict[str, list[AppendEntry]] = {name: [] for name in pings}
        for partition, program in forgotten:
            entry = AppendEntry(
                program=program, start=0, previous_epoch=0, records=(), forget=True
            )
            entries.setdefault(partition, []).append(entry)
        size = 0
        while self.due and size < BATCH_BYTES:
            (name, program), _ = self.due.popitem()
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
        """Return what the holder lacks of one log."""
        start = min(program_log.matched.get(self.holder, 0), len(program_log))
        previous = program_log.records[start - 1].epoch if start else 0
        return AppendEntry(
            program=program,
            start=start,
            previous_epoch=previous,
            records=tuple(r.to_held() for r in program_log.records[start:]),
        )

    def put_back(self, request: AppendRequest) -> None:
        """Make everything in a batch due again."""
        for append in request.appends:
            for entry in append.entries:
                key = (append.partition, entry.program)
                if entry.forget:
                    self.forgotten[key] = None
                else:
                    self.due[key] = None

    def stop(self) -> None:
        """End the task."""
        self.task.kill()
