"""The names under which engines hold shared beginnings of prompts."""

from __future__ import annotations

from typing import Final

SHARED_PREFIX: Final = "shared"
SPANS_HELD: Final = 2


def make_shared_name(now: float, seconds: float, digest: bytes) -> str:
    """Return the name of a shared beginning for the span of time around `now`.

    Parameters
    ----------
    now : float
        Wall clock time, in seconds.
    seconds : float
        Length of a span.
    """
    start = int(now // seconds * seconds)
    return f"{SHARED_PREFIX}.{start}.{int(seconds)}.{digest.hex()}"


def is_pinned_prefix_key(name: str) -> bool:
    """Return whether `name` holds a shared beginning, and no program's cache."""
    return name.startswith(f"{SHARED_PREFIX}.")


def is_pinned_prefix_expired(name: str, now: float) -> bool:
    """Return whether the span of a name and the one after it are over."""
    parts = name.split(".")
    if len(parts) != 4 or not parts[1].isdigit() or not parts[2].isdigit():
        return True
    return now >= int(parts[1]) + SPANS_HELD * int(parts[2])
