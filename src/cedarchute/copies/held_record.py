"""A record as holders store it: its epoch and its opaque text."""

from __future__ import annotations

from cedarchute.message import Message


class HeldRecord(Message):
    """One record of a program's log, written by the owner of `epoch`."""

    epoch: int
    text: str
