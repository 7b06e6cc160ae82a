"""Maintains the store records and the holders of the partitions that this box owns."""

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
    from collections.abc import Iterable

    from cedarchute.clock import Clock
    from cedarchute.copies.program_log import ProgramLog
    from cedarchute.copies.replicator import Replicator
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.store_keys import StoreKeys
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.platform.store_entry import StoreEntry
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.settings.box_settings import CopiesSection

log = logging.getLogger("cedarchute.ownership")

PERIOD_SECONDS: Final = 0.5
JOIN_SECONDS: Final = 30.0
GATE_SECONDS: Final = 2.0
STALE_COPY_SECONDS: Final = 60.0
JOIN_POLL_SECONDS: Final = 0.02


class PartitionKeeper:
    """Creates this box's own partition and replaces failed holders.

    The store is written once per change of a partition, never per program.
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

    def next_operation_id(self) -> str:
        """Return a unique id for one write to the store."""
        return f"{self.identity}/{next(self.operations)}"

    def choose(self) -> tuple[str, ...]:
        """Return the preferred holders for the partitions of this box."""
        if self.settings.wanted == 0:
            return ()
        count = self.settings.wanted + self.settings.spare
        return choose_holders(self.keeper.record, self.view.entries, count)

    def own_partition(self) -> OwnedPartition:
        """Return the partition in which this box creates programs.

        Raises
        ------
        Problem
            ``copies_unavailable`` if it is not open, is lost or is being handed over.
        """
        partition = self.replicator.partitions.get(self.own_name)
        if partition is None or partition.is_lost or partition.is_handing_over:
            raise make_copies_problem(Verdict.NOT_RUN)
        return partition

    def keep_forever(self) -> None:
        """Run `keep_once` periodically; an unavailable store skips a period."""
        while True:
            try:
                self.keep_once()
            except StoreUnavailableError as error:
                log.debug("Skipped partition maintenance: %s", error)
            eventlet.sleep(PERIOD_SECONDS)

    def keep_once(self) -> None:
        """Reconcile the partitions of this box with their records in the store."""
        # Nothing would hand over a partition that a leaving box opens now.
        is_leaving = self.keeper.record.is_leaving
        if self.own_name not in self.replicator.partitions and not is_leaving:
            self.open_own_partition()
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
            if partition.proposed is not None:
                self.write_record(partition, partition.proposed)
            elif record is None or not partition.is_record(record):
                self.repair(partition)
            elif self.is_empty_inherited(partition):
                self.remove(partition)
            else:
                self.replace_holders(partition)

    def drop_stale_copies(self) -> None:
        """Drop copies of partitions that this box no longer holds."""
        local = self.replicator.local
        now = local.clock.monotonic()
        for name, copy in list(local.partitions.items()):
            record = self.view.partitions.get(name)
            is_held = record is not None and local.name in record.holders
            if not is_held and now - copy.received_at > STALE_COPY_SECONDS:
                local.drop(name)

    def open_own_partition(self) -> None:
        """Create this box's own partition, or load its existing record.

        Does nothing while holders are wanted and none is available. If another box
        took the partition over, for example while this one was paused or cut off, the
        partition gets a new name first.
        """
        holders = self.choose()
        if self.settings.wanted > 0 and not holders:
            return
        known = self.view.partitions.get(self.own_name)
        if known is not None and known.owner != self.identity:
            self.reincarnate_own_partition()
        elif known is not None:
            version = self.view.partition_versions[self.own_name]
            self.replicator.partitions[self.own_name] = OwnedPartition(known, version)
        else:
            self.write_own_partition(holders)

    def reincarnate_own_partition(self) -> None:
        """Name this box's own partition after a new incarnation number."""
        name = self.keeper.record.name
        key = self.keys.incarnation(name)
        number = try_incarnation(self.store, key, self.clock)
        if number is not None:
            self.own_name = f"{name}.{number}"
            self.metrics.count("ownership.own_renamed")

    def write_own_partition(self, holders: tuple[str, ...]) -> None:
        """Create the record of this box's own partition in the store."""
        record = PartitionRecord(
            partition=self.own_name,
            epoch=1,
            owner=self.identity,
            holders=holders,
            quorum=min(self.settings.wanted, len(holders)),
            operation=self.next_operation_id(),
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

    def is_empty_inherited(self, partition: OwnedPartition) -> bool:
        """Return whether a taken-over partition has no programs left."""
        return partition.name != self.own_name and not partition.logs

    def remove(self, partition: OwnedPartition) -> None:
        """Delete the record of a partition without programs."""
        key = self.keys.partition(partition.name)
        result = self.store.delete(key, partition.version)
        if result.current is not None:
            self.apply_stored(partition, result.current)
            return
        partition.lose()
        self.replicator.partitions.pop(partition.name, None)
        self.view.drop_partition(partition.name)
        log.info("Removed empty partition %s.", partition.name)

    def repair(self, partition: OwnedPartition) -> None:
        """Rewrite a record that the store has lost or reverted to an earlier one."""
        key = self.keys.partition(partition.name)
        entry = self.store.get(key)
        if entry is not None:
            stored = self.apply_stored(partition, entry)
            if stored.epoch > partition.epoch or partition.is_record(stored):
                return
        value = partition.record.to_json()
        result = self.store.swap(key, value, entry.version if entry else 0)
        if result.won and result.current is not None:
            partition.version = result.current.version
            self.view.put_partition(result.current)
            self.metrics.count("ownership.store_repaired")
            log.warning(
                "Store lost the current record of %s; wrote it again.", partition.name
            )

    def replace_holders(self, partition: OwnedPartition) -> None:
        """Change the holders if one is unusable or there are too few.

        The record changes only once every new holder has all records. Any
        quorum of them then has each committed record, so they are listed in order of
        preference, other failure domains first, even those that joined late.
        """
        usable = self.find_usable(partition.record.holders)
        wanted = self.choose()
        are_all_usable = len(usable) == len(partition.record.holders)
        if are_all_usable and len(usable) >= len(wanted):
            return
        quorum = min(self.settings.wanted, len(wanted))
        if not wanted or quorum < min(partition.record.quorum, 1):
            return
        self.join_holders(partition, wanted, quorum, JOIN_SECONDS)

    def settle_inherited(
        self, partition: OwnedPartition, sealed: tuple[str, ...]
    ) -> bool:
        """Put a partition that was taken over on holders other than this box.

        The sealed holders have nearly every record, so they come first; `keep_once`
        adds further ones later. A partition without programs is removed.

        Returns whether it is done; it is lost if it was removed.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond.
        """
        if partition.proposed is not None:
            self.write_record(partition, partition.proposed)
        if self.is_empty_inherited(partition):
            self.remove(partition)
            return partition.is_lost
        wanted = self.choose()
        if not wanted:
            return True
        if self.find_usable(partition.record.holders) == partition.record.holders:
            return True
        usable = self.find_usable(sealed)
        # A sealed holder that has gone silent since delays the first attempt only.
        complete = tuple(h for h in usable if find_late_log(partition, (h,)) is None)
        holders = complete or usable or wanted
        quorum = min(self.settings.wanted, len(holders))
        seconds = GATE_SECONDS if usable else JOIN_SECONDS
        self.join_holders(partition, holders, quorum, seconds)
        return self.find_usable(partition.record.holders) == partition.record.holders

    def find_usable(self, holders: Iterable[str]) -> tuple[str, ...]:
        """Return those of `holders` that can be relied on, in the same order."""
        return tuple(holder for holder in holders if self.is_usable_holder(holder))

    def is_usable_holder(self, holder: str) -> bool:
        """Return whether a holder runs on another box that is not leaving."""
        box = self.view.find_holder(holder)
        return (
            box is not None
            and not box.is_leaving
            and box.name != self.keeper.record.name
        )

    def join_holders(
        self,
        partition: OwnedPartition,
        holders: tuple[str, ...],
        quorum: int,
        seconds: float,
    ) -> None:
        """Replicate to `holders`, then store them as the new holders.

        Gives up after `seconds`. Appends are blocked only for the last pass, limited to
        `GATE_SECONDS`.
        """
        partition.joining = holders
        try:
            with eventlet.Timeout(seconds, False):
                self.replicate_all(partition, holders)
                with partition.gate, eventlet.Timeout(GATE_SECONDS, False):
                    self.replicate_all(partition, holders)
                    self.write_holders(partition, holders, quorum)
        finally:
            if partition.proposed is None:
                partition.joining = ()

    def replicate_all(
        self, partition: OwnedPartition, holders: tuple[str, ...]
    ) -> None:
        """Wait until each of `holders` has every record, or the partition is lost."""
        for holder in holders:
            for program, program_log in list(partition.logs.items()):
                if program_log.matched.get(holder, 0) < len(program_log):
                    self.replicator.link(holder).mark(partition.name, program)
        while not partition.is_lost:
            late_log = find_late_log(partition, holders)
            if late_log is None:
                return
            late_log.wait(JOIN_POLL_SECONDS)

    def write_holders(
        self, partition: OwnedPartition, holders: tuple[str, ...], quorum: int
    ) -> None:
        """Update the record with the new holders if its version is unchanged."""
        if partition.is_lost:
            return
        record = partition.record.model_copy(
            update={
                "holders": holders,
                "quorum": quorum,
                "operation": self.next_operation_id(),
            }
        )
        self.write_record(partition, record)

    def write_record(self, partition: OwnedPartition, record: PartitionRecord) -> None:
        """Write a record with other holders; it counts as proposed until it is known.

        Writing the same record again resolves a write whose reply was lost.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond; the write may still succeed.
        """
        partition.proposed = record
        key = self.keys.partition(partition.name)
        result = self.store.swap(key, record.to_json(), partition.version)
        if result.current is not None:
            self.apply_stored(partition, result.current)
        partition.proposed = None
        partition.joining = ()

    def apply_stored(
        self, partition: OwnedPartition, entry: StoreEntry
    ) -> PartitionRecord:
        """Apply the current entry of a partition and return its record.

        The version can be newer than known, and a proposed record can be in force,
        if the reply to an earlier write was lost.
        """
        self.view.put_partition(entry)
        stored = PartitionRecord.model_validate_json(entry.value)
        proposed = partition.proposed
        if proposed is not None and stored.operation == proposed.operation:
            partition.record = proposed
            holders = ", ".join(proposed.holders)
            self.metrics.count("ownership.holders_replaced")
            log.info("Partition %s held by %s.", partition.name, holders)
        if partition.is_record(stored):
            partition.version = entry.version
        return stored


def find_late_log(
    partition: OwnedPartition, holders: tuple[str, ...]
) -> ProgramLog | None:
    """Return a log of which some of `holders` lack records; None if there is none."""
    for program_log in partition.logs.values():
        if program_log.count_holders(len(program_log), holders) < len(holders):
            return program_log
    return None
