"""The entry of a box in the store, held under a lease."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Role(StrEnum):
    """Role of a box in the fleet."""

    ENTRY = "entry"
    HOLDER = "holder"


class BoxEntry(msgspec.Struct, frozen=True):
    """A registered box.

    Attributes
    ----------
    callers : str
        Address for callers; empty for boxes that serve none.
    peers : str
        Address for other boxes.
    disk : str
        Identifier of the contents of its disk; empty for boxes without one.
    leaving : bool
        Whether it is draining and accepts no new work.
    """

    name: str
    role: Role
    failure_domain: str
    region: str
    callers: str
    peers: str
    disk: str = ""
    leaving: bool = False
