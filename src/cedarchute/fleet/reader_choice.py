"""Which boxes read the store for the others of their failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.fleet.box_entry import Role

if TYPE_CHECKING:
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.box_entry import BoxEntry

# Each reader's calls cost money, and one alone would be missed when it goes.
READERS_PER_DOMAIN: Final = 2
# In a small failure domain every box reads: a change that comes by another box comes
# later, and there is little to save.
LEAST_BOXES: Final = 8


class ReaderChoice:
    """Names the readers by the order of names: every box finds the same ones.

    Calls to the store then grow with the number of failure domains and not with that
    of the boxes.
    """

    def __init__(self, directory: BoxDirectory, me: BoxEntry) -> None:
        self.directory = directory
        self.me = me

    def list_readers(self) -> list[BoxEntry]:
        """Return the readers of this box's failure domain; none in a small one."""
        boxes = self.directory.list_boxes(Role.ENTRY)
        near = [box for box in boxes if box.failure_domain == self.me.failure_domain]
        if len(near) < LEAST_BOXES:
            return []
        near.sort(key=lambda box: box.name)
        return near[:READERS_PER_DOMAIN]

    def choose(self, turn: int) -> BoxEntry | None:
        """Return the reader to listen to in a turn; None when this box reads itself."""
        readers = self.list_readers()
        if not readers or any(reader.name == self.me.name for reader in readers):
            return None
        return readers[turn % len(readers)]
