"""Selects the boxes that read the store for their failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.decisions.knowledge_age import ReaderRank
from cedarchute.fleet.box_entry import Role

if TYPE_CHECKING:
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.box_entry import BoxEntry

# Store calls are billed, so only the first reader watches the store. One alone would
# leave its domain without changes when it fails: the second polls the first and takes
# over then.
READERS_PER_DOMAIN: Final = 2


class ReaderChoice:
    """Selects readers by name order, so that all boxes agree without coordination.

    The load on the store grows with the number of failure domains, not of boxes.
    """

    def __init__(self, directory: BoxDirectory, me: BoxEntry) -> None:
        self.directory = directory
        self.me = me

    def list_readers(self) -> list[BoxEntry]:
        """Return the readers of this box's domain; empty without entry boxes."""
        boxes = self.directory.list_boxes(Role.ENTRY)
        candidates = [
            box for box in boxes if box.failure_domain == self.me.failure_domain
        ]
        candidates.sort(key=lambda box: box.name)
        return candidates[:READERS_PER_DOMAIN]

    def find_rank(self) -> ReaderRank:
        """Return the rank of this box; first when its domain has no readers."""
        names = [reader.name for reader in self.list_readers()]
        if not names or self.me.name == names[0]:
            return ReaderRank.FIRST
        return ReaderRank.SECOND if self.me.name in names else ReaderRank.LISTENER

    def choose(self, poll_number: int) -> BoxEntry | None:
        """Return the reader to poll, in rotation; None when this box is the reader."""
        readers = self.list_readers()
        if not readers or self.me.name == readers[0].name:
            return None
        others = [reader for reader in readers if reader.name != self.me.name]
        return others[poll_number % len(others)]
