"""A number that every box computes alike, by which boxes agree without a word."""

from __future__ import annotations

import hashlib
from functools import lru_cache
from typing import Final

RANKS_KEPT: Final = 2048


@lru_cache(maxsize=RANKS_KEPT)
def rank(*parts: str) -> int:
    """Return a number that every box computes alike for the same parts."""
    digest = hashlib.blake2b("|".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
