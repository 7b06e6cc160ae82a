"""What holders are told of a turn beside its tokens."""

from __future__ import annotations

from cedarchute.record import Record


class TurnTerms(Record):
    """How long a turn and its program matter to holders.

    Attributes
    ----------
    open_seconds : float
        Longest time until the end of the turn is recorded.
    keep_seconds : float
        Retention time after the last use of the program.
    input_bytes : int
        Size of the input, which holders are sent at the end of the turn.
    """

    open_seconds: float = 0.0
    keep_seconds: float = 0.0
    input_bytes: int = 0


NO_TERMS = TurnTerms()
