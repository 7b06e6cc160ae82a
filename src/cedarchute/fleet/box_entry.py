"""A box as it stands in the store, under its lease."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Role(StrEnum):
    """What a box does."""

    ENTRY = "entry"
    HOLDER = "holder"


class BoxEntry(msgspec.Struct, frozen=True):
    """One process of ours.

    Attributes
    ----------
    callers : str
        Where callers connect; empty for boxes that serve none.
    peers : str
        Where other boxes connect.
    disk : str
        Names the contents of its disk; empty for boxes without one.
    leaving : bool
        Whether it is in a planned stop and takes nothing new.
    """

    name: str
    role: Role
    failure_domain: str
    region: str
    callers: str
    peers: str
    disk: str = ""
    leaving: bool = False
