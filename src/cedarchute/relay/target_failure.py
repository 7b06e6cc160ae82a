"""The error for failed requests to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.verdict import Verdict


class TargetFailureError(Exception):
    """No complete response; the verdict says whether the request may have run."""

    code = "target_failure"

    def __init__(self, reason: str, verdict: Verdict) -> None:
        super().__init__(reason)
        self.reason = reason
        self.verdict = verdict
