"""The error for calls whose target has left since it was chosen."""

from __future__ import annotations

from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict


class TargetLeavingError(TargetFailureError):
    """The target takes no new calls; nothing was sent to it."""

    code = "target_leaving"

    def __init__(self) -> None:
        super().__init__("refused here: it takes no new calls", Verdict.NOT_RUN)
