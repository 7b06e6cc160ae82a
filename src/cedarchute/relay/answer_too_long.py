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
    max_bytes : int
        What one answer may have of that part, or all answers together for a turn.
    """

    code = "answer_too_long"

    def __init__(self, part: AnswerPart, max_bytes: int) -> None:
        reason = f"garbled: its {part} is longer than {max_bytes} bytes"
        super().__init__(reason, Verdict.MAY_HAVE_RUN)
        self.part = part
