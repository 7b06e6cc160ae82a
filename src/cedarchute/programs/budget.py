"""The resource limits of a program."""

from __future__ import annotations

from pydantic import Field

from cedarchute.message import Message


class Budget(Message):
    """Limits of one program, including its sub-agents.

    Attributes
    ----------
    tokens : int
        Generated tokens plus new input tokens, estimated at four bytes per token.
        History that a later call sends again is not counted again.
    calls : int
        Number of calls, without those whose verdict is ``not run``.
    seconds : float
        Wall-clock time from opening to the deadline.
    """

    tokens: int = Field(ge=1)
    calls: int = Field(ge=1)
    seconds: float = Field(gt=0)
