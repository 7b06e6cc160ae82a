"""Counts the crashes of targets that run one call."""

from __future__ import annotations

import logging
from functools import cached_property
from typing import TYPE_CHECKING

import eventlet

from cedarchute.calls.target_client import MIN_SERVER_ERROR
from cedarchute.crashes.request_digest import (
    compute_content_digest,
    compute_request_digest,
)
from cedarchute.decisions.crash_count import NO_CRASHES
from cedarchute.relay.target_connection import SILENT
from cedarchute.request_ids import current_request_id, set_request_id
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.crashes.crash_exchange import CrashExchange
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
    known : CrashCount
        The count of the request when the last run was sent.
    """

    def __init__(
        self,
        request: CallerRequest,
        call: Call,
        exchange: CrashExchange,
        probe: TargetProbe,
        metrics: Metrics,
    ) -> None:
        self.request = request
        self.call = call
        self.exchange = exchange
        self.probe = probe
        self.metrics = metrics
        self.known = NO_CRASHES

    @cached_property
    def digest(self) -> str:
        """The digest that all attempts of the request share."""
        return compute_request_digest(self.request, self.call)

    @property
    def is_suspect(self) -> bool:
        """Whether targets crashed one after the other under the request."""
        table = self.exchange.table
        return bool(table) and table.find(self.digest).is_suspect

    def find_block(self) -> float | None:
        """Return for how many seconds the call must not be sent; None if it may."""
        self.exchange.learn_at_start()
        if not self.exchange.table:
            return None
        return self.exchange.table.find_block(self.digest)

    def begin_run(self) -> None:
        """Take in that the call is sent to a target now."""
        table = self.exchange.table
        self.known = table.find(self.digest) if table else NO_CRASHES

    def record_failure(self, target: TargetEntry, error: TargetFailureError) -> None:
        """Find out whether a target that may have run the call has crashed.

        Returns once other boxes know, or after a while.
        """
        if error.verdict is Verdict.NOT_RUN or error.reason == SILENT:
            return
        # Goes on if the caller leaves meanwhile.
        task = eventlet.spawn(self.count_crash, target, current_request_id())
        task.wait()

    def count_crash(self, target: TargetEntry, request_id: str) -> None:
        """Count a failure if it was a crash; tell other boxes."""
        set_request_id(request_id)
        if not self.probe.has_ended(target.address):
            return
        count = self.known.add_crash()
        is_new = self.exchange.table.merge(self.digest, count)
        self.metrics.count("targets.crashed_under_call")
        log.info(
            "Target crashed under a call.",
            extra={
                "target": target.incarnation,
                "request": self.digest,
                "content": compute_content_digest(self.request),
                "program": self.call.program.program,
                "path": self.request.path.decode("latin-1"),
                "crashes": count.crashes,
                "clearances": count.clearances,
                "is_new": is_new,
                "sends": self.call.progress.sends,
            },
        )
        self.exchange.tell_and_wait(self.digest)

    def record_answer(self, status: int) -> None:
        """Clear the request if a target answered it in full and without an error."""
        table = self.exchange.table
        if not table or status >= MIN_SERVER_ERROR:
            return
        count = table.find(self.digest)
        if not count.crashes:
            return
        table.merge(self.digest, count.clear())
        self.metrics.count("crashes.cleared")
        log.info(
            "Request cleared of crashes.",
            extra={"request": self.digest, "crashes": count.crashes},
        )
        self.exchange.tell(self.digest)
