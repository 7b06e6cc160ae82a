"""Long texts kept compressed in memory."""

from __future__ import annotations

import zlib
from typing import Final

COMPRESS_ABOVE: Final = 512
# The lowest level: the cost of packing must not show between two tokens.
LEVEL: Final = 1


def pack_text(text: str) -> bytes | tuple[bytes]:
    """Return a text as bytes, or as a tuple of compressed ones when it is long."""
    raw = text.encode()
    if len(raw) <= COMPRESS_ABOVE:
        return raw
    return (zlib.compress(raw, LEVEL),)


def unpack_text(packed: bytes | tuple[bytes]) -> str:
    """Return the text that `pack_text` was given."""
    if isinstance(packed, tuple):
        return zlib.decompress(packed[0]).decode()
    return packed.decode()
