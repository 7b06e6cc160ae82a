"""Messages with which a leaving box hands a partition over."""

from __future__ import annotations

from cedarchute.message import Message


class HandOver(Message):
    """A box that leaves asks a holder to take a partition over."""

    partition: str


class HandOverReply(Message):
    """Whether the partition was taken over."""

    taken: bool
