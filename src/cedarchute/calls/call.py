"""What a caller's request asks for, decoded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.record import Record
from cedarchute.turns.program_key import make_program_key

if TYPE_CHECKING:
    from cedarchute.calls.caller_identity import CallerIdentity


class ProgramContext(Record):
    """What a call says of the program that it belongs to.

    Attributes
    ----------
    budget : int or None
        Tokens that all turns of the program may generate, if it is bounded.
    previous : str
        The turn that this one goes on from; empty at the start of a chain.
    most_tokens : int
        Tokens that this turn generates at the most.
    aim_seconds : float or None
        What is left of the time that the whole program should take.
    """

    program: str
    budget: int | None
    previous_turn: str
    max_tokens: int
    soft_deadline_seconds: float | None = None


class Call(Record):
    """One try of a caller.

    Attributes
    ----------
    id : str
        Names this try; the next try of the same request has another.
    patience_seconds : float or None
        How long the caller waits, from when it asked.
    permit : Permit or None
        Whose the call is; None where workspaces hold no keys.
    """

    id: str
    caller_timeout_seconds: float | None
    program: ProgramContext
    caller_identity: CallerIdentity | None = None

    @property
    def workspace(self) -> str:
        """The name of the workspace whose call it is, empty when it is nobody's."""
        if self.caller_identity is None or self.caller_identity.workspace is None:
            return ""
        return self.caller_identity.workspace.name

    @property
    def program_key(self) -> str:
        """The program's name over all workspaces, empty without a program."""
        program = self.program.program
        return make_program_key(self.workspace, program) if program else ""

    @property
    def begins_program(self) -> bool:
        """Whether it is the first of a program, as far as the call itself tells."""
        return self.program.max_tokens > 0 and not self.program.previous_turn
