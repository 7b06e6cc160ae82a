"""Notices that targets crash while they run one call."""

from __future__ import annotations

import logging
from functools import cached_property
from typing import TYPE_CHECKING

from cedarchute.crashes.request_digest import (
    compute_content_digest,
    compute_request_digest,
)
from cedarchute.relay.target_connection import SILENT
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.target_failure import TargetFailureError
    from cedarchute.relay.target_probe import TargetProbe
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.crashes")


class CrashWatch:
    """Watches the runs of one attempt of a caller.

    Attributes
    ----------
    crashes : int
        Targets that crashed while they ran this attempt.
    """

    def __init__(
        self,
        request: CallerRequest,
        call: Call,
        probe: TargetProbe,
        metrics: Metrics,
    ) -> None:
        self.request = request
        self.call = call
        self.probe = probe
        self.metrics = metrics
        self.crashes = 0

    @cached_property
    def digest(self) -> str:
        """The digest that all attempts of the request share."""
        return compute_request_digest(self.request, self.call)

    def record_failure(self, target: TargetEntry, error: TargetFailureError) -> None:
        """Find out whether a target that may have run the call has crashed."""
        if error.verdict is Verdict.NOT_RUN or error.reason == SILENT:
            return
        if not self.probe.has_ended(target.address):
            return
        self.crashes += 1
        self.metrics.count("targets.crashed_under_call")
        log.info(
            "Target crashed under a call.",
            extra={
                "target": target.incarnation,
                "request": self.digest,
                "content": compute_content_digest(self.request),
                "program": self.call.program.program,
                "path": self.request.path.decode("latin-1"),
                "crashes_in_attempt": self.crashes,
                "sends": self.call.progress.sends,
            },
        )
