"""Lease on sending commands to one target, with a fencing token."""

from __future__ import annotations

from cedarchute.message import Message


class CommandLease(Message):
    """Record in the store of the box that may send commands to a target.

    `fence` is the fencing token and increases with each lease. A target that checks
    it rejects commands of earlier leases.
    """

    target: str
    holder: str
    fence: int
    operation: str
