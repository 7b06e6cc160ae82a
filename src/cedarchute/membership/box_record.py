"""What a box tells the others about itself."""

from __future__ import annotations

from enum import StrEnum

from cedarchute.message import Message
from cedarchute.settings.fields import AddressField, Name  # noqa: TC001


class BoxState(StrEnum):
    """Whether a box takes new callers."""

    LIVE = "live"
    LEAVING = "leaving"


class BoxRecord(Message):
    """One process of the daemon, as it stands in the store under a lease.

    `holder` names the storage of copies on the box: it changes with each start
    of a box that keeps nothing, and stays with the data folder otherwise.
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
        """The name and incarnation, which no other process ever has."""
        return f"{self.name}.{self.incarnation}"

    @property
    def is_leaving(self) -> bool:
        """Whether the box is on its way out."""
        return self.state is BoxState.LEAVING
