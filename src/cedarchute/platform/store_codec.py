"""How values and items stand in the store's messages."""

from __future__ import annotations

import base64
from typing import Any, Final

from cedarchute.platform.store_entry import UNREADABLE, StoreEntry

# The largest configuration that operators write, in bytes; every box keeps a copy of
# each value, and the smallest have 128 MB.
MOST_VALUE_BYTES: Final = 4_194_304


def encode_value(text: str) -> str:
    """Return a value as the store takes it."""
    return base64.b64encode(text.encode()).decode()


def decode_value(text: str) -> str:
    """Return a value, or what stands for one that cannot be read."""
    # Other writers put any bytes there. One of them, read as an error, ended the task
    # that follows the store, and with it all news of every other entry.
    try:
        content = base64.b64decode(text, validate=True)
        return UNREADABLE if len(content) > MOST_VALUE_BYTES else content.decode()
    except (TypeError, ValueError):
        return UNREADABLE


def read_entry(item: dict[str, Any]) -> StoreEntry:
    """Return an item of the store; raise KeyError or ValueError when it is none."""
    return StoreEntry(
        item["PrivateKey"], decode_value(item["Value"]), int(item["Revision"])
    )
