"""Takes over the partitions of a box that is gone."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.owned_partition import OwnedPartition
from cedarchute.ownership.hand_over import HandOver, HandOverReply
from cedarchute.platform.store_client import StoreUnavailableError

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.copies.holder import Holder
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.partition_record import PartitionRecord
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.ownership.owner_check import OwnerCheck
    from cedarchute.ownership.partition_keeper import PartitionKeeper
    from cedarchute.ownership.recovery import Recovery

log = logging.getLogger("cedarchute.takeover")

PERIOD_SECONDS: Final = 0.5
STAGGER_SECONDS: Final = 1.0


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
        check: OwnerCheck,
        recovery: Recovery,
        takeover_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.partitions = partitions
        self.view = view
        self.keeper = keeper
        self.holder = holder
        self.check = check
        self.recovery = recovery
        self.takeover_seconds = takeover_seconds
        self.clock = clock
        self.metrics = metrics
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
        return (
            record.owner == self.keeper.record.identity
            and record.partition != self.partitions.own_name
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
            is_proved = self.check.is_proved_gone(record.owner)
            if not is_proved and not self.check.is_missing(record):
                return
            self.wait_for_turn(record)
            if self.view.partitions.get(record.partition) == record:
                self.take(record, is_proved)
        except StoreUnavailableError as error:
            log.debug("Takeover of %s put off: %s", record.partition, error)
        finally:
            self.considering.discard(record.partition)

    def wait_for_turn(self, record: PartitionRecord) -> None:
        """Let holders that come earlier in the record go first."""
        earlier = 0
        for holder in record.holders:
            if holder == self.holder.name:
                break
            if self.view.find_holder(holder) is not None:
                earlier += 1
        eventlet.sleep(earlier * STAGGER_SECONDS)

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
        eventlet.spawn_n(self.recovery.recover, partition, owner_gone)
