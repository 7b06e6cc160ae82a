"""The decoded form of a caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cedarchute.calls.call_progress import CallProgress
from cedarchute.record import Record
from cedarchute.turns.program_key import make_program_key

if TYPE_CHECKING:
    from cedarchute.calls.caller_identity import CallerIdentity
    from cedarchute.routing.route import Route


class ProgramContext(Record):
    """The program that a call belongs to, as the call states it.

    Attributes
    ----------
    program : str
        Id of the program; empty for a call without one.
    budget : int or None
        Maximum number of tokens that all turns of the program may generate; None
        if unlimited.
    previous_turn : str
        Id of the turn that this one continues; empty at the start of a chain.
    max_tokens : int
        Maximum number of tokens that this turn generates.
    soft_deadline_seconds : float or None
        Time left until the program's soft deadline.
    """

    program: str
    budget: int | None
    previous_turn: str
    max_tokens: int
    soft_deadline_seconds: float | None = None


class Call(Record):
    """One attempt of a caller.

    Attributes
    ----------
    id : str
        Unique per attempt: a retry of the same request has another id.
    caller_timeout_seconds : float or None
        The caller's timeout, counted from the start of its request.
    caller_identity : CallerIdentity or None
        The authenticated caller; None if no workspace has keys configured.
    progress : CallProgress
        How far the call has come; shared by the copies of this record.
    configuration_version : int
        The version that the limit of the caller's workspace is from.
    kind : str
        Name of the call's route; empty until it is known.
    urgency : int or None
        What engines are told, 0 to 9, 0 being the most urgent; None if nothing.
    """

    id: str
    caller_timeout_seconds: float | None
    program: ProgramContext
    caller_identity: CallerIdentity | None = None
    progress: CallProgress = msgspec.field(default_factory=CallProgress)
    configuration_version: int = 0
    kind: str = ""
    urgency: int | None = None

    def find_timeout(self, route: Route) -> float:
        """Return the timeout of the call in seconds, from the start of its request."""
        if self.caller_timeout_seconds is None:
            return route.timeout_seconds
        return min(route.timeout_seconds, self.caller_timeout_seconds)

    @property
    def workspace(self) -> str:
        """The name of the caller's workspace; empty if unknown."""
        if self.caller_identity is None or self.caller_identity.workspace is None:
            return ""
        return self.caller_identity.workspace.name

    @property
    def program_key(self) -> str:
        """The program's key, unique across workspaces; empty without a program."""
        program = self.program.program
        return make_program_key(self.workspace, program) if program else ""

    @property
    def is_turn(self) -> bool:
        """Whether the call is a turn of a program."""
        return self.program.max_tokens > 0 and bool(self.program.program)

    @property
    def begins_program(self) -> bool:
        """Whether the call is the first turn of a program, judged by its headers."""
        return self.program.max_tokens > 0 and not self.program.previous_turn
