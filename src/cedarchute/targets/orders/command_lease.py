"""The right to order one target for a short while, under a fencing number."""

from __future__ import annotations

from cedarchute.message import Message


class CommandLease(Message):
    """The store's record of who may order a target.

    `fence` goes up with each term. A target that checks it refuses the orders of
    earlier terms.
    """

    target: str
    holder: str
    fence: int
    operation: str
