"""Identifies the contents of a holder's disk."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Final

import msgspec

from cedarchute.turns.durable_file import replace_file

if TYPE_CHECKING:
    from pathlib import Path

FILE_NAME: Final = "disk.json"


class DiskIdentity(msgspec.Struct, frozen=True):
    """Identifier of a disk's contents, and whether catch-up has completed."""

    disk: str
    complete: bool

    @staticmethod
    def is_stored(folder: Path) -> bool:
        """Return whether an earlier process has stored an identity."""
        return (folder / FILE_NAME).exists()

    @classmethod
    def load(cls, folder: Path) -> DiskIdentity:
        """Return the stored identity; store a new one if there is none."""
        path = folder / FILE_NAME
        try:
            return msgspec.json.decode(path.read_bytes(), type=cls)
        except (FileNotFoundError, msgspec.MsgspecError):
            identity = cls(secrets.token_hex(8), complete=False)
            identity.save(folder)
            return identity

    def save(self, folder: Path) -> None:
        """Replace the stored identity durably and atomically."""
        replace_file(folder / FILE_NAME, msgspec.json.encode(self))

    def mark_complete(self, folder: Path) -> DiskIdentity:
        """Store and return this identity, marked complete."""
        identity = DiskIdentity(self.disk, complete=True)
        identity.save(folder)
        return identity

    def mark_incomplete(self, folder: Path) -> DiskIdentity:
        """Store and return this identity, marked incomplete."""
        identity = DiskIdentity(self.disk, complete=False)
        identity.save(folder)
        return identity
