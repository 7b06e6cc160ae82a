"""The newest table of seats by which a disk has answered, kept on that disk."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from cedarchute.turns.durable_file import replace_file

if TYPE_CHECKING:
    from pathlib import Path

FILE_NAME: Final = "table.json"


class SeenVersion(msgspec.Struct, frozen=True):
    """What stands in the file."""

    version: int


class SeatVersionFile:
    """Remembers a version across restarts; it never goes back.

    A holder that takes another's place relies on every other holder having left the
    older table for good. One that restarts may hear of an older table first, from a
    box that has been cut off from the store.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self.version = 0
        try:
            found = msgspec.json.decode(self.path.read_bytes(), type=SeenVersion)
        except (FileNotFoundError, msgspec.MsgspecError):
            return  # A new disk, or one of an earlier release.
        self.version = found.version

    def note(self, version: int) -> None:
        """Write a newer version down; return once it is on the disk.

        The whole process waits for the disk: tables change when holders do, a few
        times a day.

        Raises
        ------
        OSError
            When the disk does not take it.
        """
        if version <= self.version:
            return
        replace_file(self.path, msgspec.json.encode(SeenVersion(version)))
        self.version = version
