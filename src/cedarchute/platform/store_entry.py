"""One entry of the platform's key-value service."""

from __future__ import annotations

from typing import Final

from cedarchute.record import Record

# Stands for bytes that are no text, or too many: no document of any kind.
UNREADABLE: Final = ""


class StoreEntry(Record):
    """A key, its value and the store revision of its last change.

    Attributes
    ----------
    value : str
        What stands there as text; `UNREADABLE` when it is none.
    """

    key: str
    value: str
    version: int


class StoreReading(Record):
    """One key as the store said it just then.

    Attributes
    ----------
    entry : StoreEntry or None
        None when nothing stands there.
    revision : int
        Of the whole store; 0 when it did not say.
    """

    entry: StoreEntry | None
    revision: int


class StoreListing(Record):
    """Every entry under a prefix, read at one revision of the store."""

    entries: tuple[StoreEntry, ...]
    revision: int


class StoreChange(Record):
    """One change seen by a watch; `entry` is None when the key went away."""

    key: str
    entry: StoreEntry | None
    revision: int


class SwapResult(Record):
    """The result of a compare-and-swap, with what stands under the key now."""

    won: bool
    current: StoreEntry | None
