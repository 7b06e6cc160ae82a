"""A call on its way to its target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.programs.call_run import CallRun
    from cedarchute.programs.call_state import CallState
    from cedarchute.programs.program import Program
    from cedarchute.programs.records import CallIntended, ChatMessage


@dataclass(frozen=True)
class DispatchedCall:
    """A call on its way: its program, its intent, its state and its run."""

    program: Program
    intent: CallIntended
    entry: CallState
    run: CallRun

    @property
    def request_id(self) -> str:
        """The id under which the target knows this attempt."""
        return f"{self.program.id}:{self.intent.key}:{self.entry.attempt}"

    def read_messages(self) -> list[ChatMessage]:
        """Return the program's history with the new messages of the call."""
        return [*self.program.read_history(), *self.intent.messages]
