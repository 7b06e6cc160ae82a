"""Whether the process that a target's entry describes lives."""

from __future__ import annotations

from enum import StrEnum


class TargetLife(StrEnum):
    """What a look at a target showed."""

    ALIVE = "alive"
    ENDED = "ended"
    UNKNOWN = "unknown"
