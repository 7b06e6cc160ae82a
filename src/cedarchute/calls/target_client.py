"""Sends calls to targets and reads their responses."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.calls.shutdown_deadline import make_shutdown_refusal
from cedarchute.calls.store_view import CURRENT_VIEW
from cedarchute.calls.target_leaving_error import TargetLeavingError
from cedarchute.calls.view_guard import ViewGuard
from cedarchute.crashes.unwatched_call import UNWATCHED
from cedarchute.decisions.key_trust import cap_age
from cedarchute.platform.call_headers import (
    ANSWER_ID,
    MISDIRECTED_REQUEST,
    says_not_run,
    write_target_headers,
)
from cedarchute.pressure.answer_memory import AnswerMemory
from cedarchute.pressure.growth_order import GrowthOrder
from cedarchute.pressure.held_amount import HeldAmount
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.record import MutableRecord
from cedarchute.relay.answer_limits import DEFAULT_LIMITS, AnswerLimits
from cedarchute.relay.answer_too_long import AnswerPart, AnswerTooLongError
from cedarchute.relay.connection_share_error import ConnectionShareError
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.relay.target_answer import MIN_SERVER_ERROR
from cedarchute.relay.target_connection import send_request
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarchute.calls.call import Call
    from cedarchute.calls.caller_identity import CallerIdentity
    from cedarchute.calls.key_authenticator import KeyAuthenticator
    from cedarchute.calls.quota_check import QuotaCheck
    from cedarchute.calls.store_view import StoreView
    from cedarchute.crashes.call_watch import CallWatch
    from cedarchute.crashes.crash_watcher import CrashWatcher
    from cedarchute.metrics import Metrics
    from cedarchute.pressure.held_bytes import HeldBytes, HeldCause
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.target_answer import TargetAnswer
    from cedarchute.relay.target_connection import TargetConnection
    from cedarchute.relay.target_pool import TargetPool
    from cedarchute.routing.load_balancer import LoadBalancer
    from cedarchute.routing.target_entry import TargetEntry
    from cedarchute.waiting.call_order import CallOrder

log = logging.getLogger("cedarchute.calls")

METHODS_WITHOUT_BODY = frozenset((b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE"))
GATEWAY_TIMEOUT = 504
# How long a target that rejected a call for lack of capacity gets no calls; it has
# capacity again once one of its requests ends.
FULL_TARGET_PAUSE_SECONDS = 0.05
# If a caller disconnects after its target was silent for this long, the target counts
# as failed: callers of streams wait at least two seconds for an event.
SILENT_TARGET_SECONDS = 1.5
# Interval between checks for room near the bound on held bytes.
ROOM_CHECK_SECONDS: Final = 0.05


class OpenResponse(MutableRecord):
    """A response whose headers are read, and the connection to read its body from.

    Attributes
    ----------
    sent_at : float
        Monotonic time at which the attempt began.
    read_deadline : float
        Monotonic time until which the target may stay silent.
    call_id : str
        Id of the call that it answers.
    """

    target: TargetEntry
    connection: TargetConnection
    answer: TargetAnswer
    sent_at: float
    read_deadline: float
    call_id: str = ""


class TargetClient:
    """Sends calls to targets and tracks the load and failures of each.

    Attributes
    ----------
    call_order : CallOrder or None
        The order in which calls wait; None if they wait in no order.
    memory : AnswerMemory
        Counts what is held of answers.
    crash_watcher : CrashWatcher or None
        Counts crashes of targets by request; None if nobody does.
    view : StoreView
        How current the known entries of targets are.
    """

    def __init__(
        self,
        pool: TargetPool,
        load_balancer: LoadBalancer,
        key_authenticator: KeyAuthenticator,
        quota_check: QuotaCheck,
        metrics: Metrics,
        held: HeldBytes = UNBOUNDED,
        call_order: CallOrder | None = None,
        crash_watcher: CrashWatcher | None = None,
        limits: AnswerLimits = DEFAULT_LIMITS,
        view: StoreView = CURRENT_VIEW,
        max_view_age_seconds: float = float("inf"),
    ) -> None:
        self.view = view
        self.view_guard = ViewGuard(view, max_view_age_seconds, metrics)
        self.call_order = call_order
        self.memory = AnswerMemory(limits.total_bytes, held)
        self.growth_order = GrowthOrder(held)
        self.held = held
        self.pool = pool
        self.limits = limits
        self.quota_check = quota_check
        self.key_authenticator = key_authenticator
        self.load_balancer = load_balancer
        self.metrics = metrics
        self.crash_watcher = crash_watcher

    def watch_crashes(self, request: CallerRequest, call: Call) -> CallWatch:
        """Return what counts crashes of targets that run a call."""
        if self.crash_watcher is None:
            return UNWATCHED
        return self.crash_watcher.watch(request, call)

    def open(
        self,
        request: CallerRequest,
        call: Call,
        target: TargetEntry,
        body: bytes,
        deadline: float,
        read_deadline: float,
    ) -> OpenResponse:
        """Send a call to `target` and wait for the headers of its response.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the call ends; the target gets the time left.
        read_deadline : float
            Monotonic time until which the target may stay silent.

        Raises
        ------
        TargetFailureError
            When the target fails; the verdict tells whether the call may have run.
        CallRefusedError
            When the caller's key is no longer valid or the process ends; this target
            has not run the call.
        """
        load = self.load_balancer.loads[target.incarnation]
        load.active += 1
        sent_at = time.monotonic()
        connection = None
        try:
            connection = self.connect(target, call, deadline - sent_at)
            self.wait_for_view()
            seconds_left = deadline - time.monotonic()
            head = build_request(
                request,
                target,
                body,
                seconds_left,
                call.caller_identity,
                call.urgency,
            )
            self.key_authenticator.revalidate(call)
            self.check_readiness(target)
            send_request(connection, head, body, deadline - time.monotonic())
            self.record_send(target, call, deadline)
            answer = self.read_answer(connection, request, call, read_deadline)
            load.received_at = time.monotonic()
            if says_not_run(answer):
                refused, connection = connection, None
                self.drain_refusal(refused, answer, deadline)
                if answer.status == MISDIRECTED_REQUEST:
                    reason = "another target answers at its address"
                    raise TargetFailureError(reason, Verdict.NOT_RUN)
                load.record_overload(FULL_TARGET_PAUSE_SECONDS)
                reason = f"refused with {answer.status}"
                raise TargetFailureError(reason, Verdict.NOT_RUN)
        except BaseException as error:
            load.active -= 1
            load.record_end(call.id)
            if connection is not None:
                connection.close()
            if isinstance(error, TargetFailureError):
                self.handle_failure(target, call, error)
            elif time.monotonic() - sent_at > SILENT_TARGET_SECONDS:
                load.record_failure()
            raise
        return OpenResponse(target, connection, answer, sent_at, read_deadline, call.id)

    def check_readiness(self, target: TargetEntry) -> None:
        """Raise `TargetLeavingError` if a target left since it was chosen."""
        if self.load_balancer.registry.accepts_calls(target):
            return
        self.metrics.count("targets.left_before_send")
        raise TargetLeavingError

    def record_send(self, target: TargetEntry, call: Call, deadline: float) -> None:
        """Log a call that was just sent, with the age of what led to it."""
        now = time.monotonic()
        load = self.load_balancer.loads[target.incarnation]
        load.record_send(call.id)
        chosen_seconds = now - call.progress.chosen_at
        view_age = self.view.complete_age_seconds
        self.metrics.time("calls.choice_to_send", chosen_seconds)
        self.metrics.time("calls.view_age", cap_age(view_age))
        facts = {}
        known = self.load_balancer.registry.find_incarnation(target.incarnation)
        if known is not None and known.ready:
            load.leaving_known_at = float("-inf")
        else:
            leaving_seconds = now - load.leaving_known_at
            self.metrics.count("targets.sent_after_leaving")
            self.metrics.time("targets.sent_after_leaving", cap_age(leaving_seconds))
            facts["leaving_known_ms"] = round(1000 * cap_age(leaving_seconds))
        log.info(
            "Call sent.",
            extra={
                "target": target.id,
                "service": target.service,
                "active": load.active,
                "preferred": call.progress.is_preferred,
                "ms_left": round((deadline - now) * 1000),
                "chosen_ms": round(1000 * chosen_seconds, 1),
                "view_age_ms": round(1000 * cap_age(view_age)),
                **facts,
            },
        )

    def connect(
        self, target: TargetEntry, call: Call, seconds: float
    ) -> TargetConnection:
        """Return a connection to `target`; nothing is sent on it yet."""
        try:
            return self.pool.take(target.address, seconds, encode_id(call))
        except ConnectionShareError:
            load = self.load_balancer.loads[target.incarnation]
            load.record_overload(FULL_TARGET_PAUSE_SECONDS)
            raise
        except ShutdownError:
            raise make_shutdown_refusal() from None

    def wait_for_view(self) -> None:
        """Wait until it is known which targets are ready; nothing is sent yet."""
        try:
            self.view_guard.wait_until_current()
        except ShutdownError:
            raise make_shutdown_refusal() from None

    def read_answer(
        self,
        connection: TargetConnection,
        request: CallerRequest,
        call: Call,
        deadline: float,
    ) -> TargetAnswer:
        """Return the response to a call once its headers are complete."""
        expects_body = request.method != b"HEAD"
        try:
            return connection.read_answer(
                encode_id(call), ANSWER_ID, deadline, expects_body
            )
        finally:
            if connection.discarded:
                self.metrics.count("targets.answers_discarded", connection.discarded)

    def drain_refusal(
        self,
        connection: TargetConnection,
        answer: TargetAnswer,
        deadline: float,
    ) -> None:
        """Read the rest of a rejection so that its connection can be reused."""
        try:
            connection.drop_rest(answer, deadline)
            connection.finish(answer)
            self.pool.give_back(connection)
        except TargetFailureError:
            connection.close()
        except ShutdownError:
            connection.close()
            raise make_shutdown_refusal() from None

    def handle_failure(
        self, target: TargetEntry, call: Call, error: TargetFailureError
    ) -> None:
        """Count a failure; pause the target unless it rejected the call."""
        self.metrics.count("targets.failures")
        if isinstance(error, AnswerTooLongError):
            self.metrics.count(f"targets.answer_too_long.{error.part}")
        if not error.reason.startswith("refused"):
            self.load_balancer.loads[target.incarnation].record_failure()
        log.info(
            "Target failed.",
            extra={
                "target": target.id,
                "why": error.reason,
                "verdict": error.verdict,
            },
        )

    def hold(self, cause: HeldCause) -> HeldAmount:
        """Return an amount of held bytes to accumulate."""
        return HeldAmount(self.memory, cause)

    def read_body(self, opened: OpenResponse, amount: HeldAmount) -> bytes:
        """Return the body of a response; `amount` counts it.

        One that is too long to be held is not read to its end, and nothing of it is
        taken from the response.
        """
        answer = opened.answer
        parts = [answer.take_parts()]
        amount.grow(len(parts[0]))
        try:
            while not answer.is_complete:
                if self.is_too_long(amount):
                    answer.parts.extend(parts)
                    return b""
                rest = find_rest(answer, amount.count)
                self.wait_for_room(amount, rest, opened.read_deadline)
                self.receive(opened, opened.read_deadline)
                parts.append(answer.take_parts())
                amount.grow(len(parts[-1]))
        finally:
            self.growth_order.finish(amount, answer.is_complete)
        return b"".join(parts)

    def receive(self, opened: OpenResponse, deadline: float) -> None:
        """Read the next bytes of a response; its target is not silent."""
        opened.connection.receive(deadline - time.monotonic())
        load = self.load_balancer.loads[opened.target.incarnation]
        load.received_at = time.monotonic()

    def is_too_long(self, amount: HeldAmount) -> bool:
        """Return whether no more of a body may be held."""
        if amount.count > self.limits.held_bytes:
            return True
        return not self.memory.allows(amount.count)

    def read_long_body(
        self, opened: OpenResponse, amount: HeldAmount, deadline: float
    ) -> Iterator[bytes]:
        """Yield a body that is too long to be held, as it comes.

        Parameters
        ----------
        amount : HeldAmount
            Counts what of it is held.
        deadline : float
            Monotonic time at which the call ends.

        Raises
        ------
        AnswerTooLongError
            When the body goes on for too long.
        """
        answer = opened.answer
        count = 0
        while answer.parts or not answer.is_complete:
            if not answer.parts:
                self.receive(opened, deadline)
            part = answer.parts.popleft() if amount.count else answer.take_parts()
            amount.shrink(len(part))
            count += len(part)
            if count > self.limits.body_bytes:
                raise AnswerTooLongError(AnswerPart.BODY, self.limits.body_bytes)
            yield part

    def wait_for_room(
        self, amount: HeldAmount, rest: int | None, deadline: float
    ) -> None:
        """Leave a large response unread near the bound, so that TCP slows its target.

        Raises
        ------
        TargetFailureError
            At `deadline`; the target is not at fault, but its response is lost.
        """
        while not self.growth_order.may_grow(amount, rest):
            if time.monotonic() >= deadline:
                self.metrics.count_refusal("held_answer")
                reason = "refused here: no room for its response"
                raise TargetFailureError(reason, Verdict.MAY_HAVE_RUN)
            eventlet.sleep(ROOM_CHECK_SECONDS)

    def finish(self, opened: OpenResponse) -> None:
        """Record a complete response and return its connection to the pool."""
        seconds = time.monotonic() - opened.sent_at
        load = self.load_balancer.loads[opened.target.incarnation]
        load.active -= 1
        load.record_end(opened.call_id)
        load.alive_at = max(load.alive_at, opened.sent_at)
        if self.crash_watcher is not None:
            self.crash_watcher.record_alive(opened.target, opened.sent_at)
        if is_target_error(opened.answer.status):
            self.metrics.count("targets.errors")
            load.record_failure()
        else:
            load.record_answer(seconds)
        self.metrics.time("targets.seconds", seconds)
        opened.connection.finish(opened.answer)
        self.pool.give_back(opened.connection)
        self.report_end(opened.target, seconds)

    def abandon(self, opened: OpenResponse) -> None:
        """Close the connection of a response that is not read to its end."""
        load = self.load_balancer.loads[opened.target.incarnation]
        load.active -= 1
        load.record_end(opened.call_id)
        opened.connection.close()
        self.report_end(opened.target)

    def report_end(self, target: TargetEntry, seconds: float | None = None) -> None:
        """Tell waiting calls that one left `target`, with its time if answered."""
        if self.call_order is not None:
            self.call_order.record_end(target.service, seconds)


def find_rest(answer: TargetAnswer, count: int) -> int | None:
    """Return how much of a body is missing after `count` bytes; None if unknown."""
    length = answer.headers.get(b"content-length")
    return None if length is None else max(0, int(length) - count)


def encode_id(call: Call) -> bytes:
    """Return the id of a call as it stands in headers."""
    return call.id.encode("latin-1")


def is_target_error(status: int) -> bool:
    """Return whether a status reports a failure of the target.

    Such responses are often fast and would make a failing target look like the best
    one. 504 is excluded: the call took too long, so its latency counts.
    """
    return status >= MIN_SERVER_ERROR and status != GATEWAY_TIMEOUT


def build_request(
    request: CallerRequest,
    target: TargetEntry,
    body: bytes,
    seconds_left: float,
    caller_identity: CallerIdentity | None,
    urgency: int | None = None,
) -> bytes:
    """Return the request line and headers of a request to a target."""
    headers = write_target_headers(
        request, target, seconds_left, caller_identity, urgency
    )
    line = b"%s %s HTTP/1.1\r\n" % (request.method, request.target)
    if body or request.method not in METHODS_WITHOUT_BODY:
        headers = headers.extend((b"Content-Length", b"%d" % len(body)))
    return line + headers.encode() + b"\r\n"
