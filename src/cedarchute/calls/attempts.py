"""Sends a call to targets, one after another, within the limits of its route."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import eventlet
from msgspec.structs import replace

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.shutdown_deadline import STOPPING
from cedarchute.crashes.unwatched_call import UNWATCHED
from cedarchute.platform.call_headers import continue_after
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.routing.route import Repeatability
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.target_client import OpenResponse, TargetClient
    from cedarchute.crashes.call_watch import CallWatch
    from cedarchute.decisions.pace_meter import SlowdownMeter
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.routing.route import Route
    from cedarchute.routing.target_entry import TargetEntry
    from cedarchute.waiting.call_order import CallOrder
    from cedarchute.waiting.waiting_call import WaitingCall

# Interval between checks for capacity while all targets are full; one of them has
# capacity again within about this time.
FULL_POLL_SECONDS: Final = 0.03
# Share of the route's objective that a call may wait for capacity before it is
# rejected; the caller may find capacity at another box.
MAX_FULL_WAIT_SHARE: Final = 0.25
RETRY_AFTER_SECONDS: Final = 0.15
# A repeatable call fails over once a target has not answered for this many times the
# route's objective and this many times the target's mean latency: longer than nearly
# every answer, short enough for another target to be in time.
FAILOVER_OBJECTIVES: Final = 1.25
FAILOVER_MEAN_LATENCIES: Final = 4.0


class Attempts:
    """The attempts of one call.

    A call that may have run is retried only if it is repeatable, and runs on at most
    as many targets as its route allows.

    Attributes
    ----------
    tried : set of str
        Ids of targets that are excluded from the next attempt.
    broken : set of str
        Ids of targets that broke off a stream of the call; excluded for good.
    is_resumed : bool
        Whether a stream of the call goes on at another target.
    possible_runs : int
        Number of targets that have run the call or may have.
    granted_runs : int
        Number of runs that the limit of the caller's workspace allows.
    deadline : float
        Monotonic time at which the call times out.
    waiting_call : WaitingCall or None
        What decides when the call goes next; None if calls wait in no order.
    crash_watch : CallWatch
        Counts crashes of targets under the request.
    """

    def __init__(
        self,
        target_client: TargetClient,
        metrics: Metrics,
        request: CallerRequest,
        call: Call,
        route: Route,
        service: str,
        body: bytes,
        preferred_target: str = "",
        slowdown_meter: SlowdownMeter | None = None,
        call_order: CallOrder | None = None,
        crash_watch: CallWatch = UNWATCHED,
    ) -> None:
        self.target_client = target_client
        self.metrics = metrics
        self.request = request
        self.call = call
        self.route = route
        self.service = service
        self.body = body
        self.preferred_target = preferred_target
        self.slowdown_meter = slowdown_meter
        self.tried: set[str] = set()
        self.broken: set[str] = set()
        self.is_resumed = False
        self.possible_runs = 0
        self.granted_runs = 1
        self.deadline = request.read_at + call.find_timeout(route)
        self.full_wait_deadline = self.compute_full_wait_deadline()
        self.crash_watch = crash_watch
        self.call_order = call_order
        self.has_waited = False
        self.waiting_call = self.describe_wait()

    def compute_full_wait_deadline(self) -> float:
        """Return until when a call that is sent now may wait for capacity."""
        max_full_wait = MAX_FULL_WAIT_SHARE * self.route.objective_seconds
        return time.monotonic() + max_full_wait

    def describe_wait(self) -> WaitingCall | None:
        """Return what decides when the call goes next; None if there is no order."""
        if self.call_order is None:
            return None
        return self.call_order.describe(
            self.call,
            self.route,
            self.service,
            self.request.read_at,
            self.deadline,
            self.full_wait_deadline,
        )

    def open(self) -> OpenResponse:
        """Send the call until a target answers; return that response.

        Raises
        ------
        CallRefusedError
            When no target or no time is left.
        """
        while True:
            self.check_crashes()
            self.check_quota()
            target = self.choose_target()
            self.call.progress.chosen_at = time.monotonic()
            # It may have waited for a target.
            self.check_crashes()
            if not self.crash_watch.begin_run(target):
                continue
            self.tried.add(target.id)
            self.call.progress.sends += 1
            self.call.progress.last_target = target.incarnation
            self.call.progress.is_preferred = (
                target.incarnation == self.preferred_target
            )
            try:
                opened = self.send(target)
            except TargetFailureError as error:
                if self.is_resumed and error.verdict is not Verdict.NOT_RUN:
                    self.broken.add(target.id)
                self.handle_attempt_failure(target, error)
                continue
            except CallRefusedError as error:
                self.crash_watch.record_not_run()
                raise self.resolve_refusal(error) from None
            self.possible_runs += 1
            if self.call_order is not None:
                self.call_order.record_placed(
                    self.call, self.waiting_call, self.has_waited
                )
            return opened

    def resume(self, failed: TargetEntry, last_event_id: bytes) -> OpenResponse:
        """Have another target go on with a stream that `failed` broke off.

        The connection to `failed` must be closed already.

        Raises
        ------
        CallRefusedError
            When no target or no time is left.
        """
        self.broken.add(failed.id)
        self.tried.add(failed.id)
        self.is_resumed = True
        self.request = continue_after(self.request, last_event_id)
        self.full_wait_deadline = self.compute_full_wait_deadline()
        self.waiting_call = self.describe_wait()
        return self.open()

    def check_crashes(self) -> None:
        """Raise if too many targets crashed while they ran the same request."""
        seconds = self.crash_watch.find_block()
        if seconds is None:
            return
        self.metrics.count_refusal("crashes")
        refusal = CallRefusedError(503, "targets crashed under this request", seconds)
        raise self.resolve_refusal(refusal)

    def check_quota(self) -> None:
        """Have a further run granted; the first one was before this object was made.

        Each run counts for the limit of the workspace, also of the same call.
        """
        if self.possible_runs < self.granted_runs:
            return
        try:
            self.target_client.quota_check.check(self.call)
        except CallRefusedError as error:
            raise self.resolve_refusal(error) from None
        self.granted_runs += 1

    def send(self, target: TargetEntry) -> OpenResponse:
        """Send the call to `target`; report its wait to the slowdown meter."""
        wait = None
        call = self.call
        if self.call_order is not None:
            urgency = self.call_order.find_urgency(self.waiting_call, self.route)
            call = replace(call, urgency=urgency)
        if self.slowdown_meter is not None:
            wait = self.slowdown_meter.begin_wait(target.incarnation, time.monotonic())
        try:
            return self.target_client.open(
                self.request,
                call,
                target,
                self.body,
                self.deadline,
                self.compute_read_deadline(target),
            )
        finally:
            if wait is not None:
                self.slowdown_meter.end_wait(wait)

    def compute_read_deadline(self, target: TargetEntry) -> float:
        """Return the monotonic time at which the call fails over from `target`."""
        if self.route.repeatability is not Repeatability.REPEATABLE:
            return self.deadline
        if self.possible_runs + 1 >= self.route.max_targets:
            return self.deadline
        seconds = FAILOVER_OBJECTIVES * self.route.objective_seconds
        mean_latency = (
            self.target_client.load_balancer.loads[
                target.incarnation
            ].mean_latency_seconds
            or 0.0
        )
        max_silence = max(seconds, FAILOVER_MEAN_LATENCIES * mean_latency)
        return min(self.deadline, time.monotonic() + max_silence)

    def choose_target(self) -> TargetEntry:
        """Return the next target; wait for capacity if all are full."""
        if self.goes_after_others():
            self.wait_for_capacity()
        while True:
            if time.monotonic() >= self.deadline:
                raise self.make_final_error("no time left")
            target = self.select_target()
            if target is not None:
                return target
            if self.call_order is None and time.monotonic() >= self.full_wait_deadline:
                raise self.make_final_error("no target takes it")
            self.wait_for_capacity()
            self.tried = set(self.broken)

    def select_target(self) -> TargetEntry | None:
        """Return the target that suits the call best now, or None if there is none."""
        doubted = self.crash_watch.list_doubted() - self.tried
        if doubted:
            target = self.select_beside(self.tried | doubted)
            if target is not None:
                return target
        return self.select_beside(self.tried)

    def select_beside(self, excluded: set[str]) -> TargetEntry | None:
        """Return the best target that is not excluded, or None if there is none."""
        load_balancer = self.target_client.load_balancer
        if self.crash_watch.is_suspect:
            return load_balancer.select_any(self.service, excluded)
        return load_balancer.select_target(
            self.service, excluded, self.preferred_target
        )

    def wait_for_capacity(self) -> None:
        """Wait until targets are looked at again; raise if the box stops."""
        try:
            if self.call_order is None:
                eventlet.sleep(FULL_POLL_SECONDS)
            else:
                self.has_waited = True
                self.call_order.line.wait(self.waiting_call)
        except ShutdownError:
            raise self.make_final_error(STOPPING) from None
        except CallRefusedError as error:
            raise self.resolve_refusal(error) from None

    def goes_after_others(self) -> bool:
        """Return whether more urgent calls wait for the places that come free."""
        if self.call_order is None or self.tried:
            return False
        if time.monotonic() >= self.full_wait_deadline:
            return False
        return self.call_order.line.is_behind(self.waiting_call)

    def handle_attempt_failure(
        self, target: TargetEntry, error: TargetFailureError
    ) -> None:
        """Count a failed attempt; raise if the call must not be retried."""
        if error.verdict is Verdict.NOT_RUN:
            self.crash_watch.record_not_run()
            self.metrics.count_retry("not_run")
            return
        self.possible_runs += 1
        self.crash_watch.record_failure(target, error)
        self.ensure_repeatable(error.reason)
        self.metrics.count_retry("may_have_run")

    def ensure_repeatable(self, reason: str) -> None:
        """Raise unless a call that may have run can be retried."""
        is_repeatable = self.route.repeatability is Repeatability.REPEATABLE
        if not is_repeatable and not self.is_resumed:
            raise self.make_final_error(reason)
        if self.possible_runs >= self.route.max_targets:
            raise self.make_final_error(reason)

    def resolve_refusal(self, error: CallRefusedError) -> CallRefusedError:
        """Return the error of a call that must not be sent to another target.

        If an earlier attempt may have run, the status must not say that none did.
        """
        return self.make_final_error(error.reason) if self.possible_runs else error

    def make_final_error(self, reason: str) -> CallRefusedError:
        """Return the final error.

        The status is 503 if no target ran the call, 504 after its deadline, else 502.
        """
        self.metrics.count_refusal("ran" if self.possible_runs else "not_run")
        if not self.possible_runs:
            return CallRefusedError(503, reason, RETRY_AFTER_SECONDS)
        if time.monotonic() >= self.deadline:
            return CallRefusedError(504, reason)
        return CallRefusedError(502, reason)
