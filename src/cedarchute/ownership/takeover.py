"""Takes over the partitions of a box that is gone."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.messages import (
    LogSummary,
    ReadReply,
    ReadRequest,
    SealReply,
    SealRequest,
)
from cedarchute.copies.owned_partition import OwnedPartition
from cedarchute.copies.program_log import ProgramLog
from cedarchute.membership.view import REFUSALS_NEEDED
from cedarchute.message import Message
from cedarchute.peers.heartbeat import Acknowledged, Heartbeat, HeartbeatReply
from cedarchute.peers.heartbeat import Suspicion as SuspicionMessage
from cedarchute.peers.peer_client import PeerError
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.programs.program import Program

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.copies.held_record import HeldRecord
    from cedarchute.copies.holder import Holder
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.partition_record import PartitionRecord
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.ownership.partition_keeper import PartitionKeeper
    from cedarchute.peers.peer_client import PeerClient
    from cedarchute.programs.call_runner import CallRunner

log = logging.getLogger("cedarchute.takeover")

PERIOD_SECONDS: Final = 0.5
STAGGER_SECONDS: Final = 1.0
SEAL_WAIT_SECONDS: Final = 1.0
SEAL_RETRY_SECONDS: Final = 0.3
READ_ATTEMPTS: Final = 5
ADOPTING: Final = 32


class HandOver(Message):
    """A box that leaves asks a holder to take a partition over."""

    partition: str


class HandOverReply(Message):
    """Whether the partition was taken over."""

    taken: bool


class Takeover:
    """Watches the owners of the partitions that this box holds copies of.

    A wrong suspicion costs time and nothing else: the epoch in the store decides
    who owns a partition, and holders refuse the old owner from the seal on.
    """

    def __init__(
        self,
        partitions: PartitionKeeper,
        view: View,
        keeper: LeaseKeeper,
        holder: Holder,
        runner: CallRunner,
        client: PeerClient,
        takeover_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.partitions = partitions
        self.view = view
        self.keeper = keeper
        self.holder = holder
        self.runner = runner
        self.client = client
        self.takeover_seconds = takeover_seconds
        self.clock = clock
        self.metrics = metrics
        self.missing_since: dict[str, float] = {}
        self.considering: set[str] = set()

    def watch_forever(self) -> None:
        """Look at every partition held here in each period."""
        while True:
            for record in list(self.view.partitions.values()):
                if self.is_won_unseen(record):
                    version = self.view.partition_versions[record.partition]
                    self.begin(record, version, owner_gone=False)
                if self.may_take(record) and record.partition not in self.considering:
                    self.considering.add(record.partition)
                    eventlet.spawn_n(self.consider, record)
            self.forget_gone()
            eventlet.sleep(PERIOD_SECONDS)

    def is_won_unseen(self, record: PartitionRecord) -> bool:
        """Return whether a takeover won in the store although its reply was lost."""
        me = self.keeper.record.identity
        return (
            record.owner == me
            and record.partition != me
            and record.partition not in self.partitions.replicator.partitions
        )

    def forget_gone(self) -> None:
        """Forget the boxes that have been absent for long."""
        now = self.clock.monotonic()
        for name, (_, since) in list(self.view.absent.items()):
            if now - since > self.takeover_seconds:
                self.view.forget_box(name)

    def may_take(self, record: PartitionRecord) -> bool:
        """Return whether this box holds copies of another box's partition."""
        me = self.keeper.record
        return (
            self.holder.name in record.holders
            and record.owner != me.identity
            and not me.is_leaving
        )

    def consider(self, record: PartitionRecord) -> None:
        """Take a partition over if its owner is gone."""
        try:
            is_proved = self.is_proved_gone(record.owner)
            if not is_proved and not self.is_missing(record):
                return
            self.wait_for_turn(record)
            if self.view.partitions.get(record.partition) == record:
                self.take(record, is_proved)
        except StoreUnavailableError as error:
            log.debug("Takeover of %s put off: %s", record.partition, error)
        finally:
            self.considering.discard(record.partition)

    def is_proved_gone(self, owner: str) -> bool:
        """Return whether the owner's process surely does not run any more."""
        if self.view.is_replaced(owner):
            return True
        return self.view.is_refusing(owner)

    def is_missing(self, record: PartitionRecord) -> bool:
        """Return whether the owner was neither in the store nor heard for long."""
        owner = record.owner
        name = owner.rpartition(".")[0]
        box = self.view.boxes.get(name)
        if box is not None and box.identity == owner:
            self.missing_since.pop(owner, None)
            return False
        now = self.clock.monotonic()
        since = self.missing_since.setdefault(owner, now)
        copy = self.holder.partitions.get(record.partition)
        heard_at = copy.heard_at if copy else float("-inf")
        if now - max(since, heard_at) < self.takeover_seconds:
            return False
        known = self.view.find_box(owner)
        return known is None or not self.answers(known)

    def answers(self, box: BoxRecord) -> bool:
        """Return whether the process of `box` answers a heartbeat."""
        message = Heartbeat(box=self.keeper.record, revision=0, digest="")
        try:
            reply = self.client.send(
                box.peer_address, "heartbeat", message, HeartbeatReply
            )
        except PeerError as error:
            if error.refused:
                self.view.on_refused(box.identity)
            return False
        if reply.box.identity != box.identity:
            return False
        self.view.on_heard(box.identity)
        return True

    def wait_for_turn(self, record: PartitionRecord) -> None:
        """Let holders that come earlier in the record go first."""
        earlier = 0
        for holder in record.holders:
            if holder == self.holder.name:
                break
            if self.view.find_holder(holder) is not None:
                earlier += 1
        eventlet.sleep(earlier * STAGGER_SECONDS)

    def suspect(self, box: BoxRecord) -> None:
        """Tell the holders of a box's partitions that nothing listens there."""
        self.view.on_refused(box.identity)
        told = set()
        for record in self.view.partitions.values():
            if record.owner != box.identity:
                continue
            for holder in record.holders:
                peer = self.view.find_holder(holder)
                if peer is None or peer.name in told:
                    continue
                told.add(peer.name)
                if peer.name == self.keeper.record.name:
                    self.check_suspect(box.identity)
                else:
                    eventlet.spawn_n(self.tell, peer, box.identity)

    def tell(self, peer: BoxRecord, identity: str) -> None:
        """Send one suspicion."""
        message = SuspicionMessage(identity=identity)
        try:
            self.client.send(peer.peer_address, "suspect", message, Acknowledged)
        except PeerError:
            self.metrics.count("takeover.suspicion_lost")

    def on_suspicion(self, message: SuspicionMessage) -> Acknowledged:
        """Look for oneself whether a suspected box is gone."""
        eventlet.spawn_n(self.check_suspect, message.identity)
        return Acknowledged()

    def check_suspect(self, identity: str) -> None:
        """Try the suspected box; only a refused connection proves it gone."""
        box = self.view.find_box(identity)
        for _ in range(REFUSALS_NEEDED):
            if box is None or self.answers(box):
                return

    def on_hand_over(self, message: HandOver) -> HandOverReply:
        """Take a partition over from a box that leaves and has agreed."""
        record = self.view.partitions.get(message.partition)
        if record is None or not self.may_take(record):
            return HandOverReply(taken=False)
        try:
            return HandOverReply(taken=self.take(record, True))
        except StoreUnavailableError:
            return HandOverReply(taken=False)

    def take(self, record: PartitionRecord, owner_gone: bool) -> bool:
        """Become the owner in the store, then recover; return whether won."""
        version = self.view.partition_versions.get(record.partition, 0)
        taken = record.model_copy(
            update={
                "epoch": record.epoch + 1,
                "owner": self.keeper.record.identity,
                "operation": self.partitions.new_operation(),
            }
        )
        key = self.partitions.keys.partition(record.partition)
        result = self.partitions.store.swap(key, taken.to_json(), version)
        if result.current is not None:
            self.view.put_partition(result.current)
        if not result.won or result.current is None:
            return False
        self.metrics.count("takeover.won")
        log.info("Taking over %s from %s.", record.partition, record.owner)
        self.begin(taken, result.current.version, owner_gone)
        return True

    def begin(self, record: PartitionRecord, version: int, owner_gone: bool) -> None:
        """Start to recover a partition that this box owns in the store."""
        partition = OwnedPartition(record, version)
        partition.is_recovering = True
        self.partitions.replicator.partitions[record.partition] = partition
        eventlet.spawn_n(self.recover, partition, owner_gone)

    def recover(self, partition: OwnedPartition, owner_gone: bool) -> None:
        """Seal the copies, read the longest logs, go on with the programs."""
        logs = None
        while logs is None and not partition.is_lost:
            logs = self.read_all(partition, self.seal(partition, owner_gone))
        if logs is None or partition.is_lost:
            return
        partition.logs.update(logs)
        programs = [
            Program.replay(program_id, partition, program_log)
            for program_id, program_log in logs.items()
        ]
        home = self.runner.home
        for program in programs:
            program.is_ready = False
            program.touched_at = self.clock.monotonic()
            home.programs[program.id] = program
        partition.is_recovering = False
        self.metrics.count("takeover.programs", len(programs))
        log.info("Took over %d programs of %s.", len(programs), partition.name)
        pool = eventlet.GreenPool(ADOPTING)
        for program in programs:
            pool.spawn_n(self.runner.adopt, program)
        pool.waitall()
        home.return_parts(partition)

    def read_all(
        self, partition: OwnedPartition, sealed: dict[str, SealReply]
    ) -> dict[str, ProgramLog] | None:
        """Return the longest log of each program; None when a holder went away."""
        best: dict[str, tuple[LogSummary, str]] = {}
        for holder, reply in sealed.items():
            for program, summary in reply.logs.items():
                found = best.get(program)
                if found is None or order_key(summary) > order_key(found[0]):
                    best[program] = (summary, holder)
        logs = {}
        for program, (summary, holder) in best.items():
            records = self.read(partition, program, holder)
            if records is None:
                self.metrics.count_retry("takeover_read")
                return None
            program_log = ProgramLog(records)
            for other, reply in sealed.items():
                if reply.logs.get(program) == summary:
                    program_log.matched[other] = len(records)
            logs[program] = program_log
        return logs

    def seal(self, partition: OwnedPartition, owner_gone: bool) -> dict[str, SealReply]:
        """Return the replies of enough holders to meet every kept record."""
        sealed: dict[str, SealReply] = {}
        record = partition.record
        started = self.clock.monotonic()
        while not partition.is_lost:
            for holder in record.holders:
                if holder not in sealed:
                    reply = self.seal_one(partition, holder, owner_gone)
                    if reply is not None:
                        sealed[holder] = reply
            waited = self.clock.monotonic() - started
            is_enough = len(sealed) >= record.seals_needed
            if len(sealed) == len(record.holders):
                break
            if is_enough and waited >= SEAL_WAIT_SECONDS:
                break
            eventlet.sleep(SEAL_RETRY_SECONDS)
        return sealed

    def seal_one(
        self, partition: OwnedPartition, holder: str, owner_gone: bool
    ) -> SealReply | None:
        """Seal the copies of one holder; None when it did not."""
        request = SealRequest(
            holder=holder,
            partition=partition.name,
            epoch=partition.epoch,
            owner_gone=owner_gone,
        )
        if holder == self.holder.name:
            reply = self.holder.on_seal(request)
        else:
            box = self.view.find_holder(holder)
            if box is None:
                return None
            try:
                reply = self.client.send(box.peer_address, "seal", request, SealReply)
            except PeerError:
                return None
        if reply.refused == "higher epoch":
            partition.lose()
        return reply if reply.refused is None else None

    def read(
        self, partition: OwnedPartition, program: str, holder: str
    ) -> tuple[HeldRecord, ...] | None:
        """Return the records of one program; None when the holder is gone."""
        if holder == self.holder.name:
            return self.holder.read(partition.name, program)
        request = ReadRequest(holder=holder, partition=partition.name, program=program)
        for _ in range(READ_ATTEMPTS):
            box = self.view.find_holder(holder)
            if box is None or partition.is_lost:
                return None
            try:
                reply = self.client.send(box.peer_address, "read", request, ReadReply)
                return reply.records
            except PeerError:
                eventlet.sleep(SEAL_RETRY_SECONDS)
        return None


def order_key(summary: LogSummary) -> tuple[int, int]:
    """Return how two logs compare: the later last epoch, then the longer."""
    return (summary.last_epoch, summary.length)
