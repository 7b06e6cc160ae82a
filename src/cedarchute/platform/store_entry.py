"""Entries and results of the platform's key-value service."""

from __future__ import annotations

from typing import Final

from cedarchute.record import Record

# Replaces a value that is too long or not UTF-8; it is no valid document.
UNREADABLE: Final = ""


class StoreEntry(Record):
    """A key, its value and the store revision of its last change.

    Attributes
    ----------
    value : str
        The decoded text, or `UNREADABLE`.
    """

    key: str
    value: str
    version: int


class StoreReading(Record):
    """The result of reading one key.

    Attributes
    ----------
    entry : StoreEntry or None
        None when the key does not exist.
    revision : int
        Revision of the whole store; 0 when unknown.
    """

    entry: StoreEntry | None
    revision: int


class StoreListing(Record):
    """Every entry under a prefix, read at one revision of the store."""

    entries: tuple[StoreEntry, ...]
    revision: int


class StoreChange(Record):
    """One change seen by a watch; `entry` is None when the key was deleted."""

    key: str
    entry: StoreEntry | None
    revision: int


class SwapResult(Record):
    """The result of a compare-and-swap, with the current entry of the key."""

    won: bool
    current: StoreEntry | None
