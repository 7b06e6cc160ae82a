"""A call that is being dispatched to its target."""

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
    """The program, intent, state and run of a call that is being dispatched."""

    program: Program
    intent: CallIntended
    state: CallState
    run: CallRun

    @property
    def request_id(self) -> str:
        """The ID that identifies the current attempt to the target."""
        return f"{self.program.id}:{self.intent.key}:{self.state.attempt}"

    def read_messages(self) -> list[ChatMessage]:
        """Return the program's history followed by the new messages of the call."""
        return [*self.program.read_history(), *self.intent.messages]
