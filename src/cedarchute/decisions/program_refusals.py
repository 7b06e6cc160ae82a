"""Refusals of a program that waits for its workspace's limit."""

from __future__ import annotations

from cedarchute.record import MutableRecord


class ProgramRefusals(MutableRecord):
    """Times of the first refusal and of the last; monotonic."""

    first_at: float
    last_at: float
