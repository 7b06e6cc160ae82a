"""Locates the owner of a program."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.copies.replicator import Replicator
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.view import View


@dataclass(frozen=True)
class OwnerLocation:
    """The owner of a program: this box, another box, or unknown."""

    is_local: bool = False
    box: BoxRecord | None = None


class HomeLocator:
    """Locates owners from the local membership view, without reading the store."""

    def __init__(
        self,
        view: View,
        replicator: Replicator,
        keeper: LeaseKeeper,
        takeover_seconds: float,
    ) -> None:
        self.view = view
        self.replicator = replicator
        self.keeper = keeper
        self.takeover_seconds = takeover_seconds

    def locate(self, partition: str) -> OwnerLocation:
        """Return the current owner of a partition."""
        owned = self.replicator.partitions.get(partition)
        if owned is not None and not owned.is_lost:
            return OwnerLocation(is_local=True)
        record = self.view.partitions.get(partition)
        identity = record.owner if record is not None else partition
        box = self.view.find_box(identity)
        if box is None or box.name == self.keeper.record.name:
            return OwnerLocation()
        return OwnerLocation(box=box)

    def is_unknown(self, partition: str) -> bool:
        """Return whether a partition has no record and its first owner was replaced."""
        if partition in self.view.partitions:
            return False
        return self.view.is_replaced(partition)

    @property
    def owner_wait_seconds(self) -> float:
        """Maximum time to wait for an owner that does not respond.

        0 while the store is unavailable, since no box can take over then.
        """
        silent = self.keeper.clock.monotonic() - self.keeper.store_seen_at
        if silent > self.keeper.seconds:
            return 0.0
        return self.takeover_wait_seconds

    @property
    def takeover_wait_seconds(self) -> float:
        """Maximum duration of a takeover, once the new owner is known.

        The new owner needs its holders to recover, but not the store.
        """
        return self.takeover_seconds * 2 + 2.0
