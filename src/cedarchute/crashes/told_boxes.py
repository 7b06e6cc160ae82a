"""The boxes that are told of crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.fleet.box_entry import Role
from cedarchute.fleet.reader_choice import READERS_PER_DOMAIN

if TYPE_CHECKING:
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.box_entry import BoxEntry


class ToldBoxes:
    """The entry boxes by failure domain: those that may have callers, and readers."""

    def __init__(self, directory: BoxDirectory, me: BoxEntry) -> None:
        self.directory = directory
        self.me = me

    @property
    def is_complete(self) -> bool:
        """Whether this box has read the list of boxes, which has itself in it."""
        return self.me.name in self.directory.known.entries

    def list_others(self) -> list[BoxEntry]:
        """Return all other boxes that may have callers."""
        boxes = self.directory.list_recent(Role.ENTRY)
        return [box for box in boxes if box.name != self.me.name]

    def list_members(self, domain: str) -> list[BoxEntry]:
        """Return the other boxes of a failure domain."""
        return [box for box in self.list_others() if box.failure_domain == domain]

    def list_other_domains(self) -> list[str]:
        """Return the failure domains of other boxes, without the own one."""
        domains = {box.failure_domain for box in self.list_others()}
        return sorted(domains - {self.me.failure_domain})

    def list_readers(self, domain: str) -> list[BoxEntry]:
        """Return the boxes that tell the others of a domain, the first one first.

        Sorted by name, so that all boxes agree without coordination.
        """
        boxes = self.directory.list_boxes(Role.ENTRY)
        own = [box for box in boxes if box.failure_domain == domain]
        return sorted(own, key=lambda box: box.name)[:READERS_PER_DOMAIN]

    def list_nearest(self, count: int) -> list[BoxEntry]:
        """Return other boxes, those of the own domain first."""
        others = self.list_others()
        others.sort(key=lambda box: box.failure_domain != self.me.failure_domain)
        return others[:count]

    def is_near(self, box: BoxEntry) -> bool:
        """Whether a box is in the own failure domain."""
        return box.failure_domain == self.me.failure_domain
