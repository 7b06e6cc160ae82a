"""The records of a program's log.

A program's state is the result of replaying its records in order, both on the box that
owns the program and on a box that takes it over.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from cedarchute.message import Message
from cedarchute.operators.site_file import ServiceKind
from cedarchute.programs.budget import Budget
from cedarchute.verdict import Verdict


class ChatMessage(Message):
    """One message of a conversation, in the format of the chat completions API."""

    role: Literal["system", "user", "assistant", "tool"]
    content: str


class ProgramOpened(Message):
    """The program was opened."""

    kind: Literal["opened"] = "opened"
    workspace: str
    budget: Budget
    opened_at: float
    root_opened_at: float
    deadline: float
    parent: str | None = None


class CallIntended(Message):
    """The intent to send a call to a target."""

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
        """The maximum number of tokens that the call may cost."""
        return self.input_tokens + self.max_tokens


class CallRetargeted(Message):
    """The call is retried, on another target or on the same one."""

    kind: Literal["retargeted"] = "retargeted"
    key: str
    target: str
    attempt: int


class CallFinished(Message):
    """The outcome of a call, also returned when its key is sent again."""

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


class BudgetReserved(Message):
    """Budget was reserved for a sub-agent's program."""

    kind: Literal["part_reserved"] = "part_reserved"
    child: str
    tokens: int
    calls: int


class BudgetReturned(Message):
    """A sub-agent's program ended and its unused budget was refunded."""

    kind: Literal["part_returned"] = "part_returned"
    child: str
    spent_tokens: int
    spent_calls: int


class ProgramEnded(Message):
    """The program ended; it accepts no further calls."""

    kind: Literal["ended"] = "ended"
    reason: str
    ended_at: float


class CacheReleased(Message):
    """A target confirmed that it released the program's cache."""

    kind: Literal["released"] = "released"
    target: str


class TakenOver(Message):
    """Another box owns the program from this record on."""

    kind: Literal["taken_over"] = "taken_over"
    owner: str


ProgramRecord = Annotated[
    ProgramOpened
    | CallIntended
    | CallRetargeted
    | CallFinished
    | BudgetReserved
    | BudgetReturned
    | ProgramEnded
    | CacheReleased
    | TakenOver,
    Field(discriminator="kind"),
]

_adapter: TypeAdapter[ProgramRecord] = TypeAdapter(ProgramRecord)


def parse_record(text: str | bytes) -> ProgramRecord:
    """Return the record that the JSON document `text` describes."""
    return _adapter.validate_json(text)
