"""What a program may spend."""

from __future__ import annotations

from pydantic import Field

from cedarchute.message import Message


class Budget(Message):
    """Bounds of one program, its sub-agents included.

    `tokens` counts generated tokens and new input, one input token for each four
    bytes; text that is read again by a later turn is not counted again.
    """

    tokens: int = Field(ge=1)
    calls: int = Field(ge=1)
    seconds: float = Field(gt=0)
