"""The membership record of a box."""

from __future__ import annotations

from enum import StrEnum

from cedarchute.message import Message
from cedarchute.settings.fields import AddressField, Name  # noqa: TC001


class BoxState(StrEnum):
    """Whether a box accepts new callers."""

    LIVE = "live"
    LEAVING = "leaving"


class BoxRecord(Message):
    """One process of the daemon, stored under a lease.

    `holder` identifies the replica storage of the box. It is persistent if the box
    has a data folder; otherwise it changes at each start.
    """

    name: Name
    incarnation: int
    caller_address: AddressField
    peer_address: AddressField
    failure_domain: Name
    region: Name
    holder: str
    state: BoxState = BoxState.LIVE
    bulk: bool = False

    @property
    def identity(self) -> str:
        """The name and incarnation; unique to this process."""
        return f"{self.name}.{self.incarnation}"

    @property
    def is_leaving(self) -> bool:
        """Whether the box is shutting down and takes no new callers."""
        return self.state is BoxState.LEAVING
