"""Digests of prompt prefixes, which identify prefixes shared between programs."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

CHUNK_CHARACTERS: Final = 256
CHUNK_TOKENS: Final = CHUNK_CHARACTERS // 4
MAX_CHUNKS: Final = 64
DIGEST_BYTES: Final = 8


def digest_prefixes(contents: Iterable[str]) -> tuple[bytes, ...]:
    """Return the digest of each prefix of a prompt that ends at a chunk boundary.

    Two prompts share a prefix as far as their digests agree, whether it ends within
    a message or not. Typical shared prefixes are system prompts, source texts and
    the history of a parent program.

    Parameters
    ----------
    contents : iterable of str
        The messages of the prompt, in order.

    Returns
    -------
    tuple of bytes
        At most `MAX_CHUNKS` digests, of the prefixes of 1, 2, 3, ... chunks.
    """
    digests = []
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    remainder = ""
    for content in contents:
        remainder += content + "\n"
        complete_length = len(remainder) - len(remainder) % CHUNK_CHARACTERS
        for start in range(0, complete_length, CHUNK_CHARACTERS):
            state.update(remainder[start : start + CHUNK_CHARACTERS].encode())
            digests.append(state.digest())
            if len(digests) == MAX_CHUNKS:
                return tuple(digests)
        remainder = remainder[complete_length:]
    return tuple(digests)
