"""Persists the newest table version under which a disk has served requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from cedarchute.turns.durable_file import replace_file

if TYPE_CHECKING:
    from pathlib import Path

FILE_NAME: Final = "table.json"


class StoredVersion(msgspec.Struct, frozen=True):
    """Contents of the file."""

    version: int


class SeatVersionFile:
    """Monotonic table version that survives restarts.

    Catch-up relies on no holder serving under an older table again. A restarted
    holder may receive an older table first, from a box that is isolated from the
    store.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self.version = 0
        try:
            found = msgspec.json.decode(self.path.read_bytes(), type=StoredVersion)
        except (FileNotFoundError, msgspec.MsgspecError):
            return  # New disk, or one without this file.
        self.version = found.version

    def store(self, version: int) -> None:
        """Store a newer version durably.

        Blocks the process during the sync, which is acceptable as tables change rarely.

        Raises
        ------
        OSError
            If the write fails.
        """
        if version <= self.version:
            return
        replace_file(self.path, msgspec.json.encode(StoredVersion(version)))
        self.version = version
