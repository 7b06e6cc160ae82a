"""In-memory compression of long texts."""

from __future__ import annotations

import zlib
from typing import Final

MAX_UNCOMPRESSED_BYTES: Final = 512
# The fastest level, since compression must not delay token streaming.
COMPRESSION_LEVEL: Final = 1


def compress_text(text: str) -> bytes | tuple[bytes]:
    """Return short texts as bytes and long ones as a tuple of compressed bytes."""
    raw = text.encode()
    if len(raw) <= MAX_UNCOMPRESSED_BYTES:
        return raw
    return (zlib.compress(raw, COMPRESSION_LEVEL),)


def decompress_text(stored: bytes | tuple[bytes]) -> str:
    """Return the original text of the result of `compress_text`."""
    if isinstance(stored, tuple):
        return zlib.decompress(stored[0]).decode()
    return stored.decode()
