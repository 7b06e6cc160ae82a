"""What takes in the entries of one part of the store."""

from __future__ import annotations

from typing import Protocol


class StoreFollower(Protocol):
    """Takes in the entries under one prefix; keys come without the prefix."""

    def put(self, key: str, value: str) -> None:
        """Take in an entry as it is now."""
        ...

    def remove(self, key: str) -> None:
        """Take in that an entry is gone."""
        ...

    def note_store_back(self) -> None:
        """Take in that the store answers again after an outage."""
        ...
