"""A record as copies keep it: its epoch and its text, not interpreted."""

from __future__ import annotations

from cedarchute.message import Message


class HeldRecord(Message):
    """One record of a program's log, written by the owner of `epoch`."""

    epoch: int
    text: str
