"""The messages by which boxes borrow calls of a workspace from its keeper."""

from __future__ import annotations

from cedarchute.message import Message


class BorrowRequest(Message):
    """Asks for some calls of a workspace, to be used within seconds."""

    workspace: str
    calls: int


class BorrowReply(Message):
    """How many calls are lent; they are lost when they are not used in time."""

    calls: int
