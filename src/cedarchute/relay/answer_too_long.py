"""The error for answers that exceed a limit."""

from __future__ import annotations

from enum import StrEnum

from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict


class AnswerPart(StrEnum):
    """The parts of an answer that have limits."""

    HEAD = "head"
    EVENT = "event"
    BODY = "body"
    DROPPED = "dropped"
    TURN = "turn"


class AnswerTooLongError(TargetFailureError):
    """A part of an answer is longer than allowed; the request may have run.

    Parameters
    ----------
    limit : int
        What one answer may have of that part, or all answers together for a turn.
    unit : str
        What the limit counts.
    """

    code = "answer_too_long"

    def __init__(self, part: AnswerPart, limit: int, unit: str = "bytes") -> None:
        reason = f"garbled: its {part} exceeds {limit} {unit}"
        super().__init__(reason, Verdict.MAY_HAVE_RUN)
        self.part = part
