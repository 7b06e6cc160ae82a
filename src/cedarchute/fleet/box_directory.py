"""The registered boxes, and the addresses to give to callers."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.lapsing_entries import LapsingEntries
from cedarchute.record import Record

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from cedarchute.address import Address

log = logging.getLogger("cedarchute.fleet")

# With fewer entry boxes than this in its failure domain, a caller gets the addresses of
# the whole region, so that the loss of one box leaves it another.
MIN_OWN_DOMAIN_BOXES: Final = 2
MAX_ADDRESSES: Final = 64
# Callers keep an address that they were given for several times as long as it is valid,
# so a box may have some after its entry lapsed.
RECENT_SECONDS: Final = 60.0


class DroppedBox(Record):
    """A box whose entry is gone, and when it was dropped (monotonic seconds)."""

    entry: BoxEntry
    dropped_at: float


class BoxDirectory:
    """Tracks the registered boxes.

    Attributes
    ----------
    dropped : dict of str to DroppedBox
        Boxes that were dropped lately, by name.
    list_isolated : Callable
        Returns the boxes without a quorum of holders that have said so to other boxes;
        they may not reach the store to publish it.
    """

    def __init__(self) -> None:
        self.known: LapsingEntries[BoxEntry] = LapsingEntries(self.log_removal)
        self.addresses: frozenset[str] = frozenset()
        self.dropped: dict[str, DroppedBox] = {}
        self.list_isolated: Callable[[], Collection[str]] = tuple

    def put(self, entry: BoxEntry) -> None:
        """Add or update a box."""
        self.dropped.pop(entry.name, None)
        before = self.known.put(entry.name, entry)
        self.update_addresses()
        if before != entry:
            log.info(describe(entry), extra={"box": entry.name, "role": entry.role})

    def remove(self, name: str) -> None:
        """Remove a box whose entry was removed, at once or after a grace period."""
        if not self.known.remove(name):
            log.info("Box's entry lapsed.", extra={"box": name})

    def log_removal(self, entry: BoxEntry) -> None:
        """Update the addresses and log that a box was dropped."""
        self.forget_dropped()
        self.dropped[entry.name] = DroppedBox(entry, time.monotonic())
        self.update_addresses()
        log.info("Box was dropped.", extra={"box": entry.name})

    def update_addresses(self) -> None:
        """Collect the addresses of all known boxes."""
        boxes = self.known.entries.values()
        self.addresses = frozenset(
            address for box in boxes for address in (box.callers, box.peers)
        )

    def is_box(self, address: Address) -> bool:
        """Whether `address` belongs to a known box."""
        return str(address) in self.addresses

    def list_boxes(self, role: Role) -> list[BoxEntry]:
        """Return the boxes of a role that are not draining."""
        entries = self.known.entries.values()
        return [box for box in entries if box.role is role and not box.leaving]

    def list_recent(self, role: Role) -> list[BoxEntry]:
        """Return the boxes of a role that may still serve: draining or lapsed ones too.

        A box that is cut off from the store loses its entry, and goes on serving.
        """
        self.forget_dropped()
        boxes = [
            *self.known.entries.values(),
            *(d.entry for d in self.dropped.values()),
        ]
        return [box for box in boxes if box.role is role]

    def forget_dropped(self) -> None:
        """Forget the boxes that were dropped long ago."""
        oldest = time.monotonic() - RECENT_SECONDS
        for name in [n for n, box in self.dropped.items() if box.dropped_at < oldest]:
            del self.dropped[name]

    def list_caller_addresses(
        self, failure_domain: str, region: str, is_behind: bool = False
    ) -> list[str]:
        """Return addresses for a caller, of its own failure domain if it has enough.

        Boxes without a quorum of holders are left out, unless there are no others:
        calls that need no holder are still served.

        Parameters
        ----------
        is_behind : bool
            Whether the box that serves the request is overloaded; then the addresses
            of the whole region are returned.
        """
        entries = self.list_boxes(Role.ENTRY)
        told = self.list_isolated()
        boxes = [box for box in entries if not (box.is_isolated or box.name in told)]
        boxes = boxes or entries
        nearby = [box for box in boxes if box.failure_domain == failure_domain]
        if is_behind or len(nearby) < MIN_OWN_DOMAIN_BOXES:
            nearby = [box for box in boxes if box.region == region] or boxes
        return sorted(box.callers for box in nearby)[:MAX_ADDRESSES]


def describe(entry: BoxEntry) -> str:
    """Return the log message for a new state of a box."""
    if entry.leaving:
        return "Box is draining."
    return "Box reaches no holders." if entry.is_isolated else "Box is registered."
