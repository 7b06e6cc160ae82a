"""Which boxes read the store for the others of their failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.decisions.knowledge_age import ReaderRank
from cedarchute.fleet.box_entry import Role

if TYPE_CHECKING:
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.box_entry import BoxEntry

# Each reader's calls cost money, and one alone would be missed when it goes: the first
# watches the store, the second listens to the first and watches once that is silent.
READERS_PER_DOMAIN: Final = 2


class ReaderChoice:
    """Names the readers by the order of names: every box finds the same ones.

    Calls to the store then grow with the number of failure domains and not with that
    of the boxes.
    """

    def __init__(self, directory: BoxDirectory, me: BoxEntry) -> None:
        self.directory = directory
        self.me = me

    def list_readers(self) -> list[BoxEntry]:
        """Return the readers of this box's failure domain; none without entries."""
        boxes = self.directory.list_boxes(Role.ENTRY)
        near = [box for box in boxes if box.failure_domain == self.me.failure_domain]
        near.sort(key=lambda box: box.name)
        return near[:READERS_PER_DOMAIN]

    def find_rank(self) -> ReaderRank:
        """Return the part of this box; without readers it is its own."""
        names = [reader.name for reader in self.list_readers()]
        if not names or self.me.name == names[0]:
            return ReaderRank.FIRST
        return ReaderRank.SECOND if self.me.name in names else ReaderRank.LISTENER

    def choose(self, turn: int) -> BoxEntry | None:
        """Return the reader to listen to in a turn; None when this box reads itself."""
        readers = self.list_readers()
        if not readers or self.me.name == readers[0].name:
            return None
        others = [reader for reader in readers if reader.name != self.me.name]
        return others[turn % len(others)]
