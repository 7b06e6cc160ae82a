"""What a caller's request asks for, decoded."""

from __future__ import annotations

from cedarchute.record import Record


class ProgramTerms(Record):
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
    previous: str
    most_tokens: int
    aim_seconds: float | None = None


class Call(Record):
    """One try of a caller.

    Attributes
    ----------
    id : str
        Names this try; the next try of the same request has another.
    patience_seconds : float or None
        How long the caller waits, from when it asked.
    """

    id: str
    patience_seconds: float | None
    program: ProgramTerms
