"""Cache keys of shared prompt prefixes that are pinned on engines."""

from __future__ import annotations

from typing import Final

SHARED_PREFIX: Final = "shared"
RETENTION_INTERVALS: Final = 2


def make_pinned_prefix_key(now: float, seconds: float, digest: bytes) -> str:
    """Return the cache key of a shared prefix for the interval that contains `now`.

    Parameters
    ----------
    now : float
        Wall clock time, in seconds.
    seconds : float
        Length of the interval.
    """
    start = int(now // seconds * seconds)
    return f"{SHARED_PREFIX}.{start}.{int(seconds)}.{digest.hex()}"


def is_pinned_prefix_key(name: str) -> bool:
    """Return whether `name` is the key of a pinned prefix, not a program's ID."""
    return name.startswith(f"{SHARED_PREFIX}.")


def is_pinned_prefix_expired(name: str, now: float) -> bool:
    """Return whether a key has expired; true for a malformed key."""
    parts = name.split(".")
    if len(parts) != 4 or not parts[1].isdigit() or not parts[2].isdigit():
        return True
    return now >= int(parts[1]) + RETENTION_INTERVALS * int(parts[2])
