"""What a caller may send, and how long it may take."""

from __future__ import annotations

from cedarchute.record import Record


class InputLimits(Record):
    """Bounds on a caller's input; in force until a configuration says others."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
