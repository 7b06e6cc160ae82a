"""Keeps the partitions of this box in the store, with holders that live."""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.owned_partition import OwnedPartition, make_copies_problem
from cedarchute.membership.incarnation import try_incarnation
from cedarchute.membership.partition_record import PartitionRecord
from cedarchute.ownership.holder_choice import choose_holders
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.copies.replicator import Replicator
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.store_keys import StoreKeys
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.settings.box_settings import CopiesSection

log = logging.getLogger("cedarchute.ownership")

PERIOD_SECONDS: Final = 0.5
JOIN_SECONDS: Final = 30.0
GATE_SECONDS: Final = 2.0
STALE_SECONDS: Final = 60.0
JOIN_POLL_SECONDS: Final = 0.02


class PartitionKeeper:
    """Opens this box's own partition, and replaces holders that are gone.

    The store is written once for each change of a partition, never for a program.
    """

    def __init__(
        self,
        store: StoreClient,
        keys: StoreKeys,
        view: View,
        keeper: LeaseKeeper,
        replicator: Replicator,
        home: ProgramRegistry,
        settings: CopiesSection,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.keys = keys
        self.view = view
        self.keeper = keeper
        self.replicator = replicator
        self.home = home
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.operations = itertools.count(1)
        self.own_name = keeper.record.identity

    @property
    def identity(self) -> str:
        """The identity of this box."""
        return self.keeper.record.identity

    def new_operation(self) -> str:
        """Return an id for one write, which no other write has."""
        return f"{self.identity}/{next(self.operations)}"

    def choose(self) -> tuple[str, ...]:
        """Return the holders that a partition of this box should have now."""
        if self.settings.wanted == 0:
            return ()
        count = self.settings.wanted + self.settings.spare
        return choose_holders(self.keeper.record, self.view.entries, count)

    def own_partition(self) -> OwnedPartition:
        """Return the partition in which this box opens programs.

        Raises
        ------
        Problem
            ``copies_unavailable`` while it has no holders or no record.
        """
        partition = self.replicator.partitions.get(self.own_name)
        if partition is None or partition.is_lost or partition.is_handing_over:
            raise make_copies_problem(Verdict.NOT_RUN)
        return partition

    def keep_forever(self) -> None:
        """Look after the partitions in each period."""
        while True:
            try:
                self.keep_once()
            except StoreUnavailableError as error:
                log.debug("Partitions not looked after: %s", error)
            eventlet.sleep(PERIOD_SECONDS)

    def keep_once(self) -> None:
        """Open the own partition, replace holders, drop what moved away."""
        # A box that leaves has handed its partition over, and would hand over no other.
        is_leaving = self.keeper.record.is_leaving
        if self.own_name not in self.replicator.partitions and not is_leaving:
            self.open_own()
        self.drop_stale_copies()
        for partition in list(self.replicator.partitions.values()):
            record = self.view.partitions.get(partition.name)
            if record is not None and record.epoch > partition.epoch:
                partition.lose()
            if partition.is_lost:
                self.home.drop_partition(partition)
                log.info("Partition %s is owned by another box.", partition.name)
                continue
            if partition.is_recovering or partition.is_handing_over:
                continue
            if record is None or record.epoch < partition.epoch:
                self.repair(partition)
            elif self.is_spent(partition):
                self.remove(partition)
            else:
                self.replace_holders(partition)

    def drop_stale_copies(self) -> None:
        """Forget the copies of partitions that are held elsewhere by now."""
        local = self.replicator.local
        now = local.clock.monotonic()
        for name, copy in list(local.partitions.items()):
            record = self.view.partitions.get(name)
            is_held = record is not None and local.name in record.holders
            if not is_held and now - copy.heard_at > STALE_SECONDS:
                local.drop(name)

    def open_own(self) -> None:
        """Write the record of this box's own partition, once there are holders.

        A box that was paused or cut off for long finds that another one owns its
        partition; it goes on with a new partition under a new number.
        """
        holders = self.choose()
        if self.settings.wanted > 0 and not holders:
            return
        known = self.view.partitions.get(self.own_name)
        if known is not None and known.owner != self.identity:
            self.rename_own()
        elif known is not None:
            version = self.view.partition_versions[self.own_name]
            self.replicator.partitions[self.own_name] = OwnedPartition(known, version)
        else:
            self.write_own(holders)

    def rename_own(self) -> None:
        """Take a new number for this box's own partition."""
        name = self.keeper.record.name
        key = self.keys.incarnation(name)
        number = try_incarnation(self.store, key, self.clock)
        if number is not None:
            self.own_name = f"{name}.{number}"
            self.metrics.count("ownership.own_renamed")

    def write_own(self, holders: tuple[str, ...]) -> None:
        """Put the record of this box's own partition into the store."""
        record = PartitionRecord(
            partition=self.own_name,
            epoch=1,
            owner=self.identity,
            holders=holders,
            quorum=min(self.settings.wanted, len(holders)),
            operation=self.new_operation(),
        )
        key = self.keys.partition(self.own_name)
        result = self.store.swap(key, record.to_json(), 0)
        if result.current is not None:
            self.view.put_partition(result.current)
        if not result.won or result.current is None:
            return
        partition = OwnedPartition(record, result.current.version)
        self.replicator.partitions[self.own_name] = partition
        log.info("Partition %s opened with %s.", self.own_name, ", ".join(holders))

    def is_spent(self, partition: OwnedPartition) -> bool:
        """Return whether an inherited partition has no programs any more."""
        return partition.name != self.own_name and not partition.logs

    def remove(self, partition: OwnedPartition) -> None:
        """Remove the record of a partition without programs."""
        key = self.keys.partition(partition.name)
        if self.store.delete(key, partition.version).won:
            self.replicator.partitions.pop(partition.name, None)
            self.view.drop_partition(partition.name)
            log.info("Partition %s is spent.", partition.name)

    def repair(self, partition: OwnedPartition) -> None:
        """Write a record again that the store has lost or set back."""
        key = self.keys.partition(partition.name)
        entry = self.store.get(key)
        if entry is not None:
            stored = PartitionRecord.model_validate_json(entry.value)
            if stored.epoch >= partition.epoch:
                self.view.put_partition(entry)
                return
        value = partition.record.to_json()
        result = self.store.swap(key, value, entry.version if entry else 0)
        if result.won and result.current is not None:
            partition.version = result.current.version
            self.view.put_partition(result.current)
            self.metrics.count("ownership.store_repaired")
            log.warning("Store went back; wrote %s again.", partition.name)

    def replace_holders(self, partition: OwnedPartition) -> None:
        """Copy to new holders when one is gone or some are missing.

        The record changes only when every new holder has everything: from then on
        a quorum of the new holders has each record that was kept, so their order is
        free. Holders in other failure domains come first, also those that came late.
        """
        present = [holder for holder in partition.record.holders if self.stays(holder)]
        wanted = self.choose()
        is_whole = len(present) == len(partition.record.holders)
        if is_whole and len(present) >= len(wanted):
            return
        quorum = min(self.settings.wanted, len(wanted))
        if not wanted or quorum < min(partition.record.quorum, 1):
            return
        self.join_holders(partition, wanted, quorum)

    def stays(self, holder: str) -> bool:
        """Return whether a holder is on another box that is not leaving."""
        box = self.view.find_holder(holder)
        return (
            box is not None
            and not box.is_leaving
            and box.name != self.keeper.record.name
        )

    def join_holders(
        self, partition: OwnedPartition, holders: tuple[str, ...], quorum: int
    ) -> None:
        """Bring `holders` up to date, then make them the holders."""
        partition.joining = holders
        try:
            with eventlet.Timeout(JOIN_SECONDS, False):
                self.copy_all(partition, holders)
                with partition.gate, eventlet.Timeout(GATE_SECONDS, False):
                    self.copy_all(partition, holders)
                    self.write_holders(partition, holders, quorum)
        finally:
            partition.joining = ()

    def copy_all(self, partition: OwnedPartition, holders: tuple[str, ...]) -> None:
        """Return when every one of `holders` has every record."""
        for holder in holders:
            for program, program_log in list(partition.logs.items()):
                if program_log.matched.get(holder, 0) < len(program_log):
                    self.replicator.link(holder).mark(partition.name, program)
        while not partition.is_lost and not has_all(partition, holders):
            eventlet.sleep(JOIN_POLL_SECONDS)

    def write_holders(
        self, partition: OwnedPartition, holders: tuple[str, ...], quorum: int
    ) -> None:
        """Put the new holders into the store."""
        if partition.is_lost:
            return
        record = partition.record.model_copy(
            update={
                "holders": holders,
                "quorum": quorum,
                "operation": self.new_operation(),
            }
        )
        key = self.keys.partition(partition.name)
        result = self.store.swap(key, record.to_json(), partition.version)
        if not result.won or result.current is None:
            if result.current is not None:
                self.view.put_partition(result.current)
            return
        partition.record = record
        partition.version = result.current.version
        self.view.put_partition(result.current)
        self.metrics.count("ownership.holders_replaced")
        log.info("Partition %s held by %s.", partition.name, ", ".join(holders))


def has_all(partition: OwnedPartition, holders: tuple[str, ...]) -> bool:
    """Return whether every holder has every record of a partition."""
    return all(
        program_log.count_holders(len(program_log), holders) == len(holders)
        for program_log in partition.logs.values()
    )
