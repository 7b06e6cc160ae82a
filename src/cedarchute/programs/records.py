"""What a program's log is made of.

A program's state is what these records say when they are read in order; the
home that orders the calls and a box that takes over read them alike.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from cedarchute.message import Message
from cedarchute.operators.site_file import ServiceKind
from cedarchute.programs.budget import Budget
from cedarchute.verdict import Verdict


class ChatMessage(Message):
    """One message of a conversation, named as chat-completions clients know it."""

    role: Literal["system", "user", "assistant", "tool"]
    content: str


class ProgramOpened(Message):
    """The program exists."""

    kind: Literal["opened"] = "opened"
    workspace: str
    budget: Budget
    opened_at: float
    root_opened_at: float
    deadline: float
    parent: str | None = None


class CallIntended(Message):
    """A call may go out to its target from now on."""

    kind: Literal["intended"] = "intended"
    key: str
    digest: str
    service: str
    service_kind: ServiceKind
    repeatable: bool
    target: str
    messages: tuple[ChatMessage, ...] = ()
    body: str | None = None
    max_tokens: int = 0
    input_tokens: int = 0
    deadline: float

    @property
    def reserved_tokens(self) -> int:
        """The tokens that the call may cost."""
        return self.input_tokens + self.max_tokens


class CallRetargeted(Message):
    """The call goes to another target, or to the same one again."""

    kind: Literal["retargeted"] = "retargeted"
    key: str
    target: str
    attempt: int


class CallFinished(Message):
    """The outcome of a call; what its caller is told, now and later."""

    kind: Literal["finished"] = "finished"
    key: str
    verdict: Verdict
    status: int
    text: str = ""
    finish_reason: str = "stop"
    tokens: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    code: str | None = None
    detail: str | None = None


class PartReserved(Message):
    """A sub-agent's program got a part of the budget."""

    kind: Literal["part_reserved"] = "part_reserved"
    child: str
    tokens: int
    calls: int


class PartReturned(Message):
    """A sub-agent's program ended and gave back what it had left."""

    kind: Literal["part_returned"] = "part_returned"
    child: str
    spent_tokens: int
    spent_calls: int


class ProgramEnded(Message):
    """No further call is taken."""

    kind: Literal["ended"] = "ended"
    reason: str
    ended_at: float


class CacheReleased(Message):
    """A target confirmed that it holds nothing of the program any more."""

    kind: Literal["released"] = "released"
    target: str


class TakenOver(Message):
    """Another box orders the calls from here on."""

    kind: Literal["taken_over"] = "taken_over"
    owner: str


ProgramRecord = Annotated[
    ProgramOpened
    | CallIntended
    | CallRetargeted
    | CallFinished
    | PartReserved
    | PartReturned
    | ProgramEnded
    | CacheReleased
    | TakenOver,
    Field(discriminator="kind"),
]

_adapter: TypeAdapter[ProgramRecord] = TypeAdapter(ProgramRecord)


def parse_record(text: str | bytes) -> ProgramRecord:
    """Return the record written as `text`."""
    return _adapter.validate_json(text)
