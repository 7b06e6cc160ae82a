"""Encodes and decodes values and items of the store's messages."""

from __future__ import annotations

import base64
from typing import Any, Final

from cedarchute.platform.store_entry import UNREADABLE, StoreEntry

# Fits the largest configuration. Every box keeps a copy of each value in memory, and
# the smallest boxes have 128 MB.
MOST_VALUE_BYTES: Final = 4_194_304


def encode_value(text: str) -> str:
    """Return a value in base64, as the store expects it."""
    return base64.b64encode(text.encode()).decode()


def decode_value(text: str) -> str:
    """Return the decoded value, or `UNREADABLE` if it is invalid."""
    # Other writers may store any bytes. Raising here would end the task that watches
    # the store, and with it the updates of all other entries.
    try:
        content = base64.b64decode(text, validate=True)
        return UNREADABLE if len(content) > MOST_VALUE_BYTES else content.decode()
    except (TypeError, ValueError):
        return UNREADABLE


def read_entry(item: dict[str, Any]) -> StoreEntry:
    """Return the entry in `item`; raise KeyError or ValueError if it is invalid."""
    return StoreEntry(
        item["PrivateKey"], decode_value(item["Value"]), int(item["Revision"])
    )
