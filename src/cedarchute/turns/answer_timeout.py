"""How long an answer of a holder is waited for."""

from __future__ import annotations

from cedarchute.record import Record


class AnswerTimeout(Record):
    """Time limits of one request.

    Attributes
    ----------
    connect_seconds : float
        For a new connection.
    read_seconds : float
        For the next bytes of the answer; a whole one may take `MAX_READ_TIMES` as long.
    """

    connect_seconds: float
    read_seconds: float
