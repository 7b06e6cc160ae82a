"""A waiting call that is refused."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.waiting.waiting_call import WaitingCall


class RefusalReason(StrEnum):
    """Why a call may not wait any longer."""

    LINE_FULL = "line_full"
    NOT_IN_TIME = "not_in_time"


class LineRefusal(Record):
    """A refused call and the inputs of that decision.

    Attributes
    ----------
    retry_after_seconds : float
        When its caller should come back.
    ahead : int
        Calls that would have gone before it.
    places_per_second : float or None
        Rate at which places are left for calls like it; None if unknown.
    """

    call: WaitingCall
    reason: RefusalReason
    retry_after_seconds: float
    ahead: int
    places_per_second: float | None
