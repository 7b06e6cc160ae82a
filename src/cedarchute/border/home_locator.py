"""Finds the home of a program, and waits a little while it moves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.copies.replicator import Replicator
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.view import View


@dataclass(frozen=True)
class HomeLocation:
    """Where a program's calls are ordered; neither when that is not known."""

    is_here: bool = False
    box: BoxRecord | None = None


class HomeLocator:
    """Answers from the view alone; nothing is asked of the store."""

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

    def locate(self, partition: str) -> HomeLocation:
        """Return where the programs of a partition are now."""
        owned = self.replicator.partitions.get(partition)
        if owned is not None and not owned.is_lost:
            return HomeLocation(is_here=True)
        record = self.view.partitions.get(partition)
        identity = record.owner if record is not None else partition
        box = self.view.find_box(identity)
        if box is None or box.name == self.keeper.record.name:
            return HomeLocation()
        return HomeLocation(box=box)

    def is_unknown(self, partition: str) -> bool:
        """Return whether no box knows a partition any more."""
        if partition in self.view.partitions:
            return False
        return self.view.is_replaced(partition)

    @property
    def patience(self) -> float:
        """Seconds to wait for a home that does not answer.

        While the store is down nobody takes over, so waiting has no point.
        """
        silent = self.keeper.clock.monotonic() - self.keeper.store_seen_at
        if silent > self.keeper.seconds:
            return 0.0
        return self.takeover_patience

    @property
    def takeover_patience(self) -> float:
        """Seconds that a takeover takes at most, once its new owner is known.

        The new owner needs its holders for it, and not the store.
        """
        return self.takeover_seconds * 2 + 2.0
