"""Messages with which a leaving box transfers a partition to a holder."""

from __future__ import annotations

from cedarchute.message import Message


class HandOver(Message):
    """Asks a holder to take over a partition of the leaving sender."""

    partition: str


class HandOverReply(Message):
    """Whether the holder now owns the partition."""

    taken: bool
