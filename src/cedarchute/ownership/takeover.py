"""Takes over the partitions of failed or leaving boxes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.owned_partition import OwnedPartition, PartitionMovedError
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
HOLDERS_RETRY_SECONDS: Final = 0.2


class Takeover:
    """Monitors the owners of the partitions of which this box holds copies.

    A false suspicion is safe: the epoch in the store decides who owns a partition,
    and sealed holders reject the previous owner.
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
        """Check the owners of all partitions periodically."""
        while True:
            for record in list(self.view.partitions.values()):
                if self.is_won_unseen(record):
                    version = self.view.partition_versions[record.partition]
                    self.begin(record, version, owner_gone=False)
                if self.may_take(record) and record.partition not in self.considering:
                    self.considering.add(record.partition)
                    eventlet.spawn_n(self.consider, record)
            self.forget_absent_boxes()
            eventlet.sleep(PERIOD_SECONDS)

    def is_won_unseen(self, record: PartitionRecord) -> bool:
        """Return whether the store shows a won takeover whose reply was lost."""
        return (
            record.owner == self.keeper.record.identity
            and record.partition in self.view.partitions
            and record.partition != self.partitions.own_name
            and record.partition not in self.partitions.replicator.partitions
        )

    def forget_absent_boxes(self) -> None:
        """Forget boxes that have been absent for more than `takeover_seconds`."""
        now = self.clock.monotonic()
        for name, (_, since) in list(self.view.absent.items()):
            if now - since > self.takeover_seconds:
                self.view.forget_box(name)

    def may_take(self, record: PartitionRecord) -> bool:
        """Return whether this box is eligible to take over a partition."""
        me = self.keeper.record
        return (
            self.holder.name in record.holders
            and record.owner != me.identity
            and not me.is_leaving
        )

    def consider(self, record: PartitionRecord) -> None:
        """Take over a partition if its owner has failed."""
        try:
            is_confirmed = self.check.is_confirmed_gone(record.owner)
            if not is_confirmed and not self.check.is_missing(record):
                return
            self.wait_for_earlier_holders(record)
            if self.view.partitions.get(record.partition) == record:
                self.claim_ownership(record, is_confirmed)
        except StoreUnavailableError as error:
            log.debug("Takeover of %s postponed: %s", record.partition, error)
        finally:
            self.considering.discard(record.partition)

    def wait_for_earlier_holders(self, record: PartitionRecord) -> None:
        """Delay, so that live holders listed earlier in the record go first."""
        live_before = 0
        for holder in record.holders:
            if holder == self.holder.name:
                break
            if self.view.find_holder(holder) is not None:
                live_before += 1
        eventlet.sleep(live_before * STAGGER_SECONDS)

    def on_hand_over(self, message: HandOver) -> HandOverReply:
        """Take over a partition at the request of its leaving owner."""
        record = self.view.partitions.get(message.partition)
        if record is None or not self.may_take(record):
            return HandOverReply(taken=False)
        try:
            return HandOverReply(taken=self.claim_ownership(record, True))
        except StoreUnavailableError:
            return HandOverReply(taken=False)

    def claim_ownership(self, record: PartitionRecord, owner_gone: bool) -> bool:
        """Become the owner in the store and start recovery.

        Returns False if a concurrent write to the record won.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond; the write may still succeed.
        """
        version = self.view.partition_versions.get(record.partition, 0)
        claimed = record.model_copy(
            update={
                "epoch": record.epoch + 1,
                "owner": self.keeper.record.identity,
                "operation": self.partitions.next_operation_id(),
            }
        )
        key = self.partitions.keys.partition(record.partition)
        result = self.partitions.store.swap(key, claimed.to_json(), version)
        if result.current is not None:
            self.view.put_partition(result.current)
        if not result.won or result.current is None:
            return False
        self.metrics.count("takeover.won")
        log.info("Taking over %s from %s.", record.partition, record.owner)
        self.begin(claimed, result.current.version, owner_gone)
        return True

    def begin(self, record: PartitionRecord, version: int, owner_gone: bool) -> None:
        """Start recovery of a partition that the store assigns to this box."""
        partition = OwnedPartition(record, version)
        partition.is_recovering = True
        self.partitions.replicator.partitions[record.partition] = partition
        eventlet.spawn_n(self.recover, partition, owner_gone)

    def recover(self, partition: OwnedPartition, owner_gone: bool) -> None:
        """Recover the programs of a partition, or remove it if it has none.

        Its programs accept no calls before they are on holders that other boxes can
        seal: this box is a holder of its own partition until then, and its failure
        would take the owner and a copy at once.
        """
        try:
            sealed = self.recovery.restore(partition, owner_gone)
        except PartitionMovedError as error:
            log.info("Takeover of %s interrupted: %s.", partition.name, error)
            return
        if sealed is None:
            return
        while not partition.is_lost:
            try:
                if self.partitions.settle_inherited(partition, sealed):
                    break
            except StoreUnavailableError as error:
                log.info("Takeover of %s waits: %s", partition.name, error)
            self.metrics.count_retry("takeover_holders")
            eventlet.sleep(HOLDERS_RETRY_SECONDS)
        if not partition.is_lost:
            self.recovery.resume(partition)
