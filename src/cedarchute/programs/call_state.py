"""The in-memory state of one recorded call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.operators.site_file import ServiceKind
    from cedarchute.verdict import Verdict


@dataclass
class CallState:
    """A recorded call without its message texts, which are read from the log.

    Attributes
    ----------
    intent_index, finish_index : int
        Log indexes of the intent and of the outcome; -1 if there is none yet.
    """

    key: str
    digest: str
    service: str
    kind: ServiceKind
    repeatable: bool
    target: str
    reserved_tokens: int
    deadline: float
    intent_index: int
    attempt: int = 0
    finish_index: int = -1
    verdict: Verdict | None = None
    tokens: int = 0

    @property
    def is_open(self) -> bool:
        """Whether no outcome has been recorded yet."""
        return self.finish_index < 0
