"""The boxes that are there now, and which of them callers should use."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.lapsing_entries import LapsingEntries

if TYPE_CHECKING:
    from cedarchute.address import Address

log = logging.getLogger("cedarchute.fleet")

# With fewer entry boxes than this in a caller's own failure domain, one lost box
# would leave it no other: it is told of all domains then.
OWN_DOMAIN_LEAST: Final = 2
MOST_ADDRESSES: Final = 64


class BoxDirectory:
    """Follows the entries of boxes."""

    def __init__(self) -> None:
        self.known: LapsingEntries[BoxEntry] = LapsingEntries(self.note_gone)
        self.addresses: frozenset[str] = frozenset()

    def put(self, entry: BoxEntry) -> None:
        """Take in a box."""
        before = self.known.put(entry.name, entry)
        self.read_addresses()
        if before != entry:
            text = "Box is leaving." if entry.leaving else "Box is there."
            log.info(text, extra={"box": entry.name, "role": entry.role})

    def remove(self, name: str) -> None:
        """Take in that a box's entry is gone."""
        if not self.known.remove(name):
            log.info("Box's entry lapsed.", extra={"box": name})

    def note_gone(self, entry: BoxEntry) -> None:
        """Log that a box is gone."""
        self.read_addresses()
        log.info("Box is gone.", extra={"box": entry.name})

    def read_addresses(self) -> None:
        """Note where the boxes that are known listen."""
        boxes = self.known.entries.values()
        self.addresses = frozenset(
            address for box in boxes for address in (box.callers, box.peers)
        )

    def is_box(self, address: Address) -> bool:
        """Whether a box of ours listens at an address."""
        return str(address) in self.addresses

    def list_boxes(self, role: Role) -> list[BoxEntry]:
        """Return the boxes of a role that are not leaving."""
        entries = self.known.entries.values()
        return [box for box in entries if box.role is role and not box.leaving]

    def list_caller_addresses(
        self, failure_domain: str, region: str, is_behind: bool = False
    ) -> list[str]:
        """Return where a caller should connect: its own domain, if enough serve it.

        Parameters
        ----------
        is_behind : bool
            Whether the box that is asked has more work than it can do: then other
            domains help.
        """
        boxes = self.list_boxes(Role.ENTRY)
        near = [box for box in boxes if box.failure_domain == failure_domain]
        if is_behind or len(near) < OWN_DOMAIN_LEAST:
            near = [box for box in boxes if box.region == region] or boxes
        return sorted(box.callers for box in near)[:MOST_ADDRESSES]
