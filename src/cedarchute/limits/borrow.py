"""Messages by which boxes borrow calls of a workspace from its owner."""

from __future__ import annotations

from cedarchute.message import Message


class BorrowRequest(Message):
    """Requests calls of a workspace, to be used within seconds."""

    workspace: str
    calls: int


class BorrowReply(Message):
    """The number of calls lent; they expire if unused."""

    calls: int
