"""What holders write down of programs; also the form on disk and between boxes."""

from __future__ import annotations

import msgspec


class Reserved(msgspec.Struct, frozen=True, tag="reserved", tag_field="kind"):
    """A turn may generate up to `tokens` from now on.

    Attributes
    ----------
    budget : int or None
        What the call said that its program may generate in all.
    """

    program: str
    turn: str
    tokens: int
    budget: int | None = None


class Settled(msgspec.Struct, frozen=True, tag="settled", tag_field="kind"):
    """A turn that did not end whole has generated `tokens`, and no more."""

    program: str
    turn: str
    tokens: int


class Turn(msgspec.Struct, frozen=True, tag="turn", tag_field="kind"):
    """A turn that ended whole.

    Attributes
    ----------
    previous : str
        The turn that it went on from, empty at the start of a chain.
    input, output : bytes
        What it brought, and what a later turn's prompt holds of its answer.
    target : str
        The target that ran it and may still have it in its cache.
    keep_seconds : float
        How long it is kept after the last use of its program.
    """

    program: str
    turn: str
    previous: str
    input: bytes
    output: bytes
    tokens: int
    target: str
    keep_seconds: float


Record = Reserved | Settled | Turn
