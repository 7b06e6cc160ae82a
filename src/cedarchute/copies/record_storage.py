"""Where a holder keeps the text of records."""

from __future__ import annotations

import zlib
from typing import Final, Protocol

COMPRESS_ABOVE: Final = 512


class RecordStorage(Protocol):
    """Keeps texts; a handle names one of them later."""

    def put(self, text: str) -> object:
        """Keep `text` and return its handle."""
        ...

    def get(self, handle: object) -> str:
        """Return the text of `handle`."""
        ...


class MemoryStorage:
    """Keeps texts in memory, long ones compressed."""

    def put(self, text: str) -> object:
        """Keep `text` and return its handle."""
        raw = text.encode()
        if len(raw) <= COMPRESS_ABOVE:
            return raw
        return (zlib.compress(raw, 1),)

    def get(self, handle: object) -> str:
        """Return the text of `handle`."""
        if isinstance(handle, tuple):
            return zlib.decompress(handle[0]).decode()
        assert isinstance(handle, bytes)
        return handle.decode()
