"""Records of programs, as stored on disk and sent between boxes."""

from __future__ import annotations

import msgspec


class Reserved(msgspec.Struct, frozen=True, tag="reserved", tag_field="kind"):
    """A reservation: a turn may generate up to `tokens`.

    Attributes
    ----------
    budget : int or None
        Total tokens that the program may generate, as set by the call.
    open_seconds : float
        Longest time until the turn ends; 0 in earlier versions.
    keep_seconds : float
        Retention time after the last use of its program; 0 in earlier versions.
    input_bytes : int
        Size of the input; 0 in earlier versions.
    """

    program: str
    turn: str
    tokens: int
    budget: int | None = None
    open_seconds: float = 0.0
    keep_seconds: float = 0.0
    input_bytes: int = 0


class Settled(msgspec.Struct, frozen=True, tag="settled", tag_field="kind"):
    """Final token count of a turn that did not complete."""

    program: str
    turn: str
    tokens: int


class Turn(msgspec.Struct, frozen=True, tag="turn", tag_field="kind"):
    """A completed turn.

    Attributes
    ----------
    previous : str
        The turn that it continues, empty at the start of a chain.
    input, output : bytes
        Its input, and the part of its answer that goes into later prompts.
    target : str
        The target that ran it, whose cache may still contain it.
    keep_seconds : float
        Retention time after the last use of its program.
    continued : tuple of str
        The other programs with turns in its chain; each use of its program is one of
        theirs as well.
    """

    program: str
    turn: str
    previous: str
    input: bytes
    output: bytes
    tokens: int
    target: str
    keep_seconds: float
    continued: tuple[str, ...] = ()


class Dropped(msgspec.Struct, frozen=True, tag="dropped", tag_field="kind"):
    """A program was forgotten; only in the journal of the disk that did."""

    program: str


class LastUse(msgspec.Struct, frozen=True, tag="last_use", tag_field="kind"):
    """When a program was last used, if not at the time of its records before.

    Attributes
    ----------
    open_seconds : float
        Longest time until a turn of another program ends that continues it.
    """

    program: str
    idle_seconds: float
    open_seconds: float


class Uptime(msgspec.Struct, frozen=True, tag="uptime", tag_field="kind"):
    """How long the process that writes has run, by which its records are dated."""

    seconds: float


Record = Reserved | Settled | Turn
JournalRecord = Record | Dropped | LastUse | Uptime
