"""The error for connections beyond the share of this box."""

from __future__ import annotations

from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict


class ConnectionShareError(TargetFailureError):
    """No further connection to a target may be opened: for this box it is full."""

    code = "connection_share"

    def __init__(self, share: int) -> None:
        reason = f"refused here: all {share} connections are in use"
        super().__init__(reason, Verdict.NOT_RUN)
