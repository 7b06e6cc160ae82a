"""What a program's state keeps of one call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.operators.site_file import ServiceKind
    from cedarchute.verdict import Verdict


@dataclass
class CallState:
    """A call without its texts, which stay in the log.

    Attributes
    ----------
    intent_index, finish_index : int
        Where in the log the intent and the outcome are; -1 for none.
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
        """Whether the outcome is not known yet."""
        return self.finish_index < 0
