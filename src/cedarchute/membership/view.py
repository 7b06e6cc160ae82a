"""What this box knows of the other boxes and of the partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.membership.box_ring import BoxRing
from cedarchute.membership.partition_record import PartitionRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.platform.store_entry import StoreEntry

REFUSALS_NEEDED: Final = 2


class View:
    """The boxes and partitions as last read from the store.

    A box whose record went away stays known as `absent` until it is proved gone,
    because a record also goes away when the store loses its leases.
    """

    def __init__(self) -> None:
        self.boxes: dict[str, BoxRecord] = {}
        self.absent: dict[str, tuple[BoxRecord, float]] = {}
        self.by_holder: dict[str, BoxRecord] = {}
        self.partitions: dict[str, PartitionRecord] = {}
        self.partition_versions: dict[str, int] = {}
        self.platform_leaving: frozenset[str] = frozenset()
        self.refusals: dict[str, int] = {}
        self.listeners: list[Callable[[], None]] = []
        self._rings: dict[str | None, BoxRing] = {}

    def put_box(self, record: BoxRecord) -> None:
        """Take in the record of a box."""
        known = self.boxes.get(record.name)
        if known is not None and known.incarnation > record.incarnation:
            return
        is_same = known is not None and known.incarnation == record.incarnation
        if is_same and known.is_leaving and not record.is_leaving:
            return
        self.boxes[record.name] = record
        absent, _ = self.absent.pop(record.name, (None, 0.0))
        for earlier in (known, absent):
            if earlier is not None and earlier.holder != record.holder:
                self._forget_holder(earlier)
        self.by_holder[record.holder] = record
        self._changed()

    def drop_box(self, name: str, now: float) -> None:
        """Take in that the store no longer has the record of a box."""
        record = self.boxes.pop(name, None)
        if record is not None:
            self.absent[name] = (record, now)
            self._changed()

    def forget_box(self, name: str) -> None:
        """Take in that an absent box is proved gone."""
        found = self.absent.pop(name, None)
        if found is not None:
            self._forget_holder(found[0])

    def _forget_holder(self, record: BoxRecord) -> None:
        known = self.by_holder.get(record.holder)
        if known is not None and known.name == record.name:
            del self.by_holder[record.holder]

    def put_partition(self, entry: StoreEntry) -> None:
        """Take in the record of a partition, unless a higher epoch is known."""
        record = PartitionRecord.model_validate_json(entry.value)
        known = self.partitions.get(record.partition)
        if known is not None and known.epoch > record.epoch:
            return
        self.partitions[record.partition] = record
        self.partition_versions[record.partition] = entry.version
        self._changed()

    def drop_partition(self, partition: str) -> None:
        """Take in that a partition has no programs any more."""
        self.partitions.pop(partition, None)
        self.partition_versions.pop(partition, None)
        self._changed()

    def find_box(self, identity: str) -> BoxRecord | None:
        """Return the box of that name and incarnation, absent ones included."""
        name, _, incarnation = identity.rpartition(".")
        record = self.boxes.get(name)
        if record is None and name in self.absent:
            record = self.absent[name][0]
        if record is None or str(record.incarnation) != incarnation:
            return None
        return record

    def is_replaced(self, identity: str) -> bool:
        """Return whether a later incarnation of that box has started."""
        name, _, incarnation = identity.rpartition(".")
        record = self.boxes.get(name)
        return record is not None and record.incarnation > int(incarnation)

    def set_platform_leaving(self, names: Iterable[str]) -> None:
        """Take in which boxes the platform's list calls leaving."""
        leaving = frozenset(names)
        if leaving != self.platform_leaving:
            self.platform_leaving = leaving
            self._changed()

    def on_refused(self, identity: str) -> None:
        """Note that nothing listened at the port of a box."""
        self.refusals[identity] = self.refusals.get(identity, 0) + 1
        self._rings.clear()

    def on_heard(self, identity: str) -> None:
        """Note that a box has answered."""
        if self.refusals.pop(identity, None) is not None:
            self._rings.clear()

    def is_refusing(self, identity: str) -> bool:
        """Return whether nothing listens at a box: its process is gone."""
        return self.refusals.get(identity, 0) >= REFUSALS_NEEDED

    def find_holder(self, holder: str) -> BoxRecord | None:
        """Return the box that keeps the copies of `holder`."""
        return self.by_holder.get(holder)

    @property
    def all_boxes(self) -> Iterable[BoxRecord]:
        """Every box that is not proved gone."""
        return [*self.boxes.values(), *(record for record, _ in self.absent.values())]

    @property
    def entries(self) -> list[BoxRecord]:
        """The boxes that callers may be sent to."""
        return [
            record
            for record in self.boxes.values()
            if not record.is_leaving
            and record.name not in self.platform_leaving
            and not self.is_refusing(record.identity)
        ]

    @property
    def ring(self) -> BoxRing:
        """The entries as a ring, which deals things out to them."""
        return self._find_ring(None)

    def ring_of(self, region: str) -> BoxRing:
        """Return the entries of a region as a ring; all when it has none."""
        ring = self._find_ring(region)
        return ring if ring.names else self.ring

    def _find_ring(self, region: str | None) -> BoxRing:
        ring = self._rings.get(region)
        if ring is None:
            boxes = self.entries
            ring = BoxRing(b.name for b in boxes if region in (None, b.region))
            self._rings[region] = ring
        return ring

    def _changed(self) -> None:
        self._rings.clear()
        for listener in self.listeners:
            listener()
