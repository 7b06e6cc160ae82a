"""Calls held for a program that was refused and told when to come back."""

from __future__ import annotations

from cedarchute.record import Record


class ProgramPromise(Record):
    """Number of calls, and the time until which they are held; monotonic."""

    calls: float
    expires_at: float
