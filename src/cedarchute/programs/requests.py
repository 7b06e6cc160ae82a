"""Validated request bodies of the caller API."""

from __future__ import annotations

import hashlib
import json
from typing import Annotated, Any, Final

from pydantic import Field, StringConstraints, model_validator

from cedarchute.message import Message
from cedarchute.programs.records import ChatMessage  # noqa: TC001

BYTES_PER_TOKEN: Final = 4

Key = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9._-]{1,128}$")]


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens in `text`, rounded up."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


class BudgetRequest(Message):
    """The requested limits; omitted ones default to those of the workspace."""

    tokens: int | None = Field(default=None, ge=1)
    calls: int | None = Field(default=None, ge=1)
    seconds: float | None = Field(default=None, gt=0)


class OpenRequest(Message):
    """Opens a program; with `parent`, a sub-agent within the parent's budget."""

    workspace: str
    budget: BudgetRequest = BudgetRequest()
    parent: str | None = None


class CallRequest(Message):
    """One call: `messages` for a model, `body` for a plain service.

    `messages` contains new messages only; the program's history is added to them.
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
        """Require exactly one of `messages` and `body`."""
        if bool(self.messages) == (self.body is not None):
            raise ValueError("give either messages (model) or body (plain service)")
        return self

    @property
    def body_text(self) -> str | None:
        """The body as JSON text."""
        return None if self.body is None else json.dumps(self.body, sort_keys=True)

    @property
    def digest(self) -> str:
        """A digest of the content, to detect a key reused for another request."""
        content = self.model_dump(
            mode="json", exclude={"stream", "turn", "deadline_seconds"}
        )
        text = json.dumps(content, sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()[:24]

    @property
    def input_tokens(self) -> int:
        """The estimated number of tokens in the new messages."""
        return sum(estimate_tokens(message.content) for message in self.messages)
