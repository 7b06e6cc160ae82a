"""Tries a call at one target after another, as far as it may be tried."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.routing.route import Repeatability
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.target_client import OpenResponse, TargetClient
    from cedarchute.decisions.slowdown_meter import SlowdownMeter
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.routing.route import Route
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.calls")

# When all targets are full, one of them has room again within about this.
FULL_WAIT_SECONDS: Final = 0.03
# A call that found no room for this share of its objective is given up: the caller
# may find room elsewhere.
FULL_SHARE: Final = 0.25
RETRY_AFTER_SECONDS: Final = 0.15
# A repeatable call is sent to another target when the first is silent for this many
# times its route's objective, or this many times what that target usually takes:
# longer than nearly every answer, short enough for the other to be in time.
SILENT_OBJECTIVES: Final = 1.25
SILENT_MEANS: Final = 4.0


class Attempts:
    """The tries of one call.

    A call that may have run is sent again only if it is repeatable, and runs on no
    more targets than its route allows.
    """

    def __init__(
        self,
        exchange: TargetClient,
        metrics: Metrics,
        request: CallerRequest,
        call: Call,
        route: Route,
        service: str,
        body: bytes,
        preferred: str = "",
        meter: SlowdownMeter | None = None,
    ) -> None:
        self.exchange = exchange
        self.metrics = metrics
        self.request = request
        self.call = call
        self.route = route
        self.service = service
        self.body = body
        self.preferred = preferred
        self.meter = meter
        self.tried: set[str] = set()
        self.runs = 0
        self.until = request.read_at + route.timeout_seconds
        if call.caller_timeout_seconds is not None:
            patience = request.read_at + call.caller_timeout_seconds
            self.until = min(self.until, patience)
        full_seconds = FULL_SHARE * route.objective_seconds
        self.full_until = time.monotonic() + full_seconds

    def open(self) -> OpenResponse:
        """Return the first answer of a target that took the call.

        Raises
        ------
        CallRefusedError
            When no target is left to try, or no time.
        """
        while True:
            target = self.next_target()
            self.tried.add(target.id)
            log.info(
                "Call sent.",
                extra={
                    "target": target.id,
                    "service": self.service,
                    "active": self.exchange.choice.loads[target.incarnation].active,
                    "preferred": target.incarnation == self.preferred,
                    "ms_left": round((self.until - time.monotonic()) * 1000),
                },
            )
            try:
                opened = self.send(target)
            except TargetFailureError as error:
                self.note_failure(error)
                continue
            except CallRefusedError as error:
                raise self.refuse(error) from None
            self.runs += 1
            return opened

    def send(self, target: TargetEntry) -> OpenResponse:
        """Send the call; its wait for an answer counts as soon as it is long."""
        wait = None
        if self.meter is not None:
            wait = self.meter.begin_wait(target.incarnation, time.monotonic())
        try:
            return self.exchange.open(
                self.request,
                self.call,
                target,
                self.body,
                self.until,
                self.find_patience(target),
            )
        finally:
            if wait is not None:
                self.meter.end_wait(wait)

    def find_patience(self, target: TargetEntry) -> float:
        """Return until when this target may be silent."""
        if self.route.repeatability is not Repeatability.REPEATABLE:
            return self.until
        if self.runs + 1 >= self.route.max_targets:
            return self.until
        seconds = SILENT_OBJECTIVES * self.route.objective_seconds
        usual = (
            self.exchange.choice.loads[target.incarnation].mean_latency_seconds or 0.0
        )
        patience = max(seconds, SILENT_MEANS * usual)
        return min(self.until, time.monotonic() + patience)

    def next_target(self) -> TargetEntry:
        """Return the target to try next; wait a moment when all are full."""
        while True:
            if time.monotonic() >= self.until:
                raise self.give_up("no time left")
            choice = self.exchange.choice
            target = choice.select_target(self.service, self.tried, self.preferred)
            if target is not None:
                return target
            if time.monotonic() >= self.full_until:
                raise self.give_up("no target takes it")
            eventlet.sleep(FULL_WAIT_SECONDS)
            self.tried.clear()

    def note_failure(self, error: TargetFailureError) -> None:
        """Take in a failed try; raise when there must not be another."""
        if error.verdict is Verdict.NOT_RUN:
            self.metrics.count_retry("not_run")
            return
        self.runs += 1
        self.check_repeatable(error.reason)
        self.metrics.count_retry("may_have_run")

    def check_repeatable(self, reason: str) -> None:
        """Raise unless a call that may have run may be sent again."""
        if self.route.repeatability is not Repeatability.REPEATABLE:
            raise self.give_up(reason)
        if self.runs >= self.route.max_targets:
            raise self.give_up(reason)

    def refuse(self, error: CallRefusedError) -> CallRefusedError:
        """Return the answer to a call whose key lets it pass no more."""
        return self.give_up(error.reason) if self.runs else error

    def give_up(self, reason: str) -> CallRefusedError:
        """Return the final answer: what is known of the call decides it."""
        self.metrics.count_refusal("ran" if self.runs else "not_run")
        if not self.runs:
            return CallRefusedError(503, reason, RETRY_AFTER_SECONDS)
        if time.monotonic() >= self.until:
            return CallRefusedError(504, reason)
        return CallRefusedError(502, reason)
