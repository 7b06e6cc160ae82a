"""How a request ended, as its caller's socket saw it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class How(StrEnum):
    """What a caller got last."""

    ANSWERED = "answered"
    CLOSED = "closed"
    RESET = "reset"
    GIVEN_UP = "given up"


@dataclass(frozen=True)
class Ending:
    """The end of one request.

    Attributes
    ----------
    entry : str
        The address that the caller had connected to.
    number : int
        Requests that the connection had carried before.
    sent_at : float or None
        When the last byte was sent, monotonic; None when that failed.
    ended_at : float
        When the answer was whole, the connection ended or the caller gave up.
    answer_bytes : int
        How much of an answer had come.
    was_closed : bool
        Whether the close had reached the caller before it sent.
    is_direct : bool
        Whether the entry itself took the connection, not a link before it.
    idle_seconds : float
        How long the connection had been open without a request.
    sending_seconds : float
        How long before `sent_at` the first byte was sent, at most: a thread that stood
        still in between notes the last byte late.
    """

    entry: str
    number: int
    sent_at: float | None
    ended_at: float
    how: How
    answer_bytes: int = 0
    was_closed: bool = False
    is_direct: bool = True
    idle_seconds: float = 0.0
    sending_seconds: float = 0.0
