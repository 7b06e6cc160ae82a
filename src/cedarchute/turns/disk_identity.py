"""The name of a disk's contents, and whether they are complete."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Final

import msgspec

from cedarchute.turns.durable_file import replace_file

if TYPE_CHECKING:
    from pathlib import Path

FILE_NAME: Final = "disk.json"


class DiskIdentity(msgspec.Struct, frozen=True):
    """Written once for each empty disk, and once more when it has caught up."""

    disk: str
    complete: bool

    @classmethod
    def load(cls, folder: Path) -> DiskIdentity:
        """Return what stands on the disk; name the contents if nothing does."""
        path = folder / FILE_NAME
        try:
            return msgspec.json.decode(path.read_bytes(), type=cls)
        except (FileNotFoundError, msgspec.MsgspecError):
            identity = cls(secrets.token_hex(8), complete=False)
            identity.save(folder)
            return identity

    def save(self, folder: Path) -> None:
        """Write it so that either this or the one before survives a loss of power."""
        replace_file(folder / FILE_NAME, msgspec.json.encode(self))

    def mark_complete(self, folder: Path) -> DiskIdentity:
        """Return the identity of a disk that holds all it has to, written down."""
        identity = DiskIdentity(self.disk, complete=True)
        identity.save(folder)
        return identity
