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
    is_isolated : bool
        Whether it reaches no quorum of holders, so that callers should use another box
        if there is one; it still serves calls that need no holder.
    """

    name: str
    role: Role
    failure_domain: str
    region: str
    callers: str
    peers: str
    disk: str = ""
    leaving: bool = False
    is_isolated: bool = False
