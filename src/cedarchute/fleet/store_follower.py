"""Protocol of consumers of store entries."""

from __future__ import annotations

from typing import Protocol


class StoreFollower(Protocol):
    """Consumes the entries under one prefix; keys come without the prefix."""

    def put(self, key: str, value: str) -> None:
        """Handle a new or changed entry."""
        ...

    def remove(self, key: str) -> None:
        """Handle the removal of an entry."""
        ...

    def note_store_back(self) -> None:
        """Handle the recovery of the store from an outage."""
        ...
