"""What callers ask of a program; checked at the border."""

from __future__ import annotations

import hashlib
import json
from typing import Annotated, Any, Final

from pydantic import Field, StringConstraints, model_validator

from cedarchute.message import Message
from cedarchute.programs.records import ChatMessage  # noqa: TC001

BYTES_PER_TOKEN: Final = 4

Key = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9._-]{1,128}$")]


def count_tokens(text: str) -> int:
    """Return the tokens that some input counts for: one for each four bytes."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


class BudgetRequest(Message):
    """The bounds that a caller wants; what is left out comes from the workspace."""

    tokens: int | None = Field(default=None, ge=1)
    calls: int | None = Field(default=None, ge=1)
    seconds: float | None = Field(default=None, gt=0)


class OpenRequest(Message):
    """Opens a program; `parent` makes it a sub-agent with a part of the budget."""

    workspace: str
    budget: BudgetRequest = BudgetRequest()
    parent: str | None = None


class CallRequest(Message):
    """One call: `messages` for a model, `body` for a plain service.

    Only new messages are given; the history is kept by the system.
    """

    service: str
    messages: tuple[ChatMessage, ...] = ()
    body: Any = None
    max_tokens: int = Field(default=256, ge=1, le=1_000_000)
    stream: bool = False
    repeatable: bool | None = None
    turn: int | None = Field(default=None, ge=1)
    deadline_seconds: float | None = Field(default=None, gt=0, le=86_400)

    @model_validator(mode="after")
    def validate_content(self) -> CallRequest:
        """Refuse a call with both contents or with none."""
        if bool(self.messages) == (self.body is not None):
            raise ValueError("give either messages (model) or body (plain service)")
        return self

    @property
    def body_text(self) -> str | None:
        """The body as JSON text."""
        return None if self.body is None else json.dumps(self.body, sort_keys=True)

    @property
    def digest(self) -> str:
        """A digest of what the call asks, to notice a key that is used again."""
        content = self.model_dump(
            mode="json", exclude={"stream", "turn", "deadline_seconds"}
        )
        text = json.dumps(content, sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()[:24]

    @property
    def input_tokens(self) -> int:
        """The tokens that the new messages count for."""
        return sum(count_tokens(message.content) for message in self.messages)
