"""How a request ended, as its caller's socket saw it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# Of the site's routes.
TIMEOUT_SECONDS: Final = 3.0


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
    send_seconds : float
        How long the sending took until `sent_at`; the caller may have stood still
        meanwhile, with the request already on its way.
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
    send_seconds: float = 0.0

    @property
    def may_be_timeout(self) -> bool:
        """Whether the entry may have had it for as long as its route allows."""
        if self.sent_at is None:
            return False
        return self.ended_at - self.sent_at + self.send_seconds >= TIMEOUT_SECONDS
