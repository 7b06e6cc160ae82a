"""Identifies a disk, and the box that answers for it."""

from __future__ import annotations

import msgspec


class DiskLocation(msgspec.Struct, frozen=True):
    """A disk of a holder.

    Attributes
    ----------
    disk : str
        Identifies the contents of the disk; changes when the disk is lost.
    """

    box: str
    address: str
    disk: str
