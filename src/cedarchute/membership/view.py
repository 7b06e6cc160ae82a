"""The local view of boxes and partitions."""

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
    """The boxes and partitions as last read from the store or told by heartbeats.

    A box whose record was removed is kept in `absent` until its failure is confirmed,
    because the store also removes records when it loses its leases.
    """

    def __init__(self) -> None:
        self.boxes: dict[str, BoxRecord] = {}
        self.absent: dict[str, tuple[BoxRecord, float]] = {}
        self.boxes_by_holder: dict[str, BoxRecord] = {}
        self.partitions: dict[str, PartitionRecord] = {}
        self.partition_versions: dict[str, int] = {}
        self.platform_leaving: frozenset[str] = frozenset()
        self.consecutive_refusals: dict[str, int] = {}
        self.listeners: list[Callable[[], None]] = []
        self._rings: dict[str | None, BoxRing] = {}

    def put_box(self, record: BoxRecord) -> None:
        """Store the record of a box, unless a newer one is known.

        Within an incarnation, a box that is leaving does not become live again.
        """
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
        self.boxes_by_holder[record.holder] = record
        self._notify_listeners()

    def drop_box(self, name: str, now: float) -> None:
        """Mark a box as absent: the store no longer has its record."""
        record = self.boxes.pop(name, None)
        if record is not None:
            self.absent[name] = (record, now)
            self._notify_listeners()

    def forget_box(self, name: str) -> None:
        """Remove an absent box whose failure is confirmed."""
        found = self.absent.pop(name, None)
        if found is not None:
            self._forget_holder(found[0])

    def _forget_holder(self, record: BoxRecord) -> None:
        known = self.boxes_by_holder.get(record.holder)
        if known is not None and known.name == record.name:
            del self.boxes_by_holder[record.holder]

    def put_partition(self, entry: StoreEntry) -> None:
        """Store the record of a partition, unless a higher epoch is known."""
        record = PartitionRecord.model_validate_json(entry.value)
        known = self.partitions.get(record.partition)
        if known is not None and known.epoch > record.epoch:
            return
        self.partitions[record.partition] = record
        self.partition_versions[record.partition] = entry.version
        self._notify_listeners()

    def drop_partition(self, partition: str) -> None:
        """Remove a partition that no longer has programs."""
        self.partitions.pop(partition, None)
        self.partition_versions.pop(partition, None)
        self._notify_listeners()

    def find_box(self, identity: str) -> BoxRecord | None:
        """Return the box with this identity, including absent boxes."""
        name, _, incarnation = identity.rpartition(".")
        record = self.boxes.get(name)
        if record is None and name in self.absent:
            record = self.absent[name][0]
        if record is None or str(record.incarnation) != incarnation:
            return None
        return record

    def is_replaced(self, identity: str) -> bool:
        """Return whether a later incarnation of the box is known."""
        name, _, incarnation = identity.rpartition(".")
        record = self.boxes.get(name)
        return record is not None and record.incarnation > int(incarnation)

    def set_platform_leaving(self, names: Iterable[str]) -> None:
        """Set the boxes that the platform's list marks as leaving."""
        leaving = frozenset(names)
        if leaving != self.platform_leaving:
            self.platform_leaving = leaving
            self._notify_listeners()

    def on_refused(self, identity: str) -> None:
        """Count a connection that the port of a box refused."""
        self.consecutive_refusals[identity] = (
            self.consecutive_refusals.get(identity, 0) + 1
        )
        self._rings.clear()

    def on_heard(self, identity: str) -> None:
        """Reset the count of refused connections: the box has responded."""
        if self.consecutive_refusals.pop(identity, None) is not None:
            self._rings.clear()

    def is_refusing(self, identity: str) -> bool:
        """Return whether a box refuses connections, so that its process has ended."""
        return self.consecutive_refusals.get(identity, 0) >= REFUSALS_NEEDED

    def find_holder(self, holder: str) -> BoxRecord | None:
        """Return the box that runs `holder`."""
        return self.boxes_by_holder.get(holder)

    @property
    def known_boxes(self) -> Iterable[BoxRecord]:
        """All boxes, including absent ones."""
        return [*self.boxes.values(), *(record for record, _ in self.absent.values())]

    @property
    def entries(self) -> list[BoxRecord]:
        """The boxes that accept new callers."""
        return [
            record
            for record in self.boxes.values()
            if not record.is_leaving
            and record.name not in self.platform_leaving
            and not self.is_refusing(record.identity)
        ]

    @property
    def ring(self) -> BoxRing:
        """The hash ring of all entries."""
        return self._find_ring(None)

    def ring_of(self, region: str) -> BoxRing:
        """Return the hash ring of a region, or of all entries if it has none."""
        ring = self._find_ring(region)
        return ring if ring.names else self.ring

    def _find_ring(self, region: str | None) -> BoxRing:
        ring = self._rings.get(region)
        if ring is None:
            boxes = self.entries
            ring = BoxRing(b.name for b in boxes if region in (None, b.region))
            self._rings[region] = ring
        return ring

    def _notify_listeners(self) -> None:
        self._rings.clear()
        for listener in self.listeners:
            listener()
