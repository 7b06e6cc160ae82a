"""Handles calls whose response is an event stream: program turns and single calls."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from cedarchute.calls.attempts import Attempts
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.shutdown_deadline import make_shutdown_refusal
from cedarchute.pressure.held_bytes import HeldCause
from cedarchute.relay.event_splitter import EventSplitter, read_data
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.turns.chain_reader import NoSuchTurnError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.records import Turn
from cedarchute.turns.turn_admission import TurnAdmission
from cedarchute.turns.turn_quorum import BudgetSpentError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.program_admission_controller import ProgramAdmissionController
    from cedarchute.calls.target_client import OpenResponse, TargetClient
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.route import Route
    from cedarchute.turns.turn_quorum import TurnQuorum

log = logging.getLogger("cedarchute.calls")

OK = 200
RETRY_AFTER_SECONDS = 0.25


class StreamCallHandler:
    """Relays streams, stores turns and enforces token budgets.

    A call with a budget is accounted for at the holders of its program even on routes
    that store no turns; the holders then record its token count but no text.
    """

    def __init__(
        self,
        target_client: TargetClient,
        quorum: TurnQuorum,
        routes: ActiveRouteTable,
        admission_controller: ProgramAdmissionController,
        metrics: Metrics,
    ) -> None:
        self.admission_controller = admission_controller
        self.target_client = target_client
        self.quorum = quorum
        self.routes = routes
        self.metrics = metrics

    def run(
        self, request: CallerRequest, writer: ReplyWriter, call: Call, route: Route
    ) -> None:
        """Relay one call; raise `CallRefusedError` if it is rejected or fails."""
        service = self.target_client.load_balancer.select_service(route)
        is_accounted = route.retains_turns or call.program.budget is not None
        try:
            self.admission_controller.check(call, route, service)
            admission = self.admit(call) if is_accounted else TurnAdmission(b"", "")
        except ShutdownError:
            if is_accounted:
                self.quorum.cancel_reservation(call.program_key, call.id)
            raise make_shutdown_refusal() from None
        relay = TurnRelay(self, request, writer, call, route, service, admission)
        try:
            relay.run()
            self.record_turn_end(relay, admission)
        finally:
            relay.kept.release()
            if is_accounted and not relay.is_stored:
                self.quorum.settle(call.program_key, call.id, relay.tokens)

    def record_turn_end(self, relay: TurnRelay, admission: TurnAdmission) -> None:
        """Report to admission control how much of the program's time was used."""
        call = relay.call
        age = admission.age_seconds
        if (
            age is None
            or call.program.soft_deadline_seconds is None
            or not relay.tokens
        ):
            return
        elapsed = time.monotonic() - relay.request.read_at
        seconds_left = max(0.0, call.program.soft_deadline_seconds - elapsed)
        self.admission_controller.record_turn_end(
            relay.route, relay.service, age + elapsed, seconds_left
        )

    def admit(self, call: Call) -> TurnAdmission:
        """Reserve the turn's tokens and read the turns that it continues."""
        context = call.program
        if not context.program:
            raise CallRefusedError(400, "a turn or a budget names its program")
        try:
            admission = self.quorum.begin(
                call.program_key,
                call.id,
                context.max_tokens,
                context.previous_turn,
                context.budget,
            )
        except NoQuorumError as error:
            self.metrics.count_refusal("no_quorum")
            raise CallRefusedError(503, str(error), RETRY_AFTER_SECONDS) from None
        except NoSuchTurnError as error:
            self.metrics.count_refusal("no_such_turn")
            raise CallRefusedError(404, str(error)) from None
        except BudgetSpentError as error:
            self.metrics.count_refusal("budget_spent")
            raise CallRefusedError(402, str(error)) from None
        log.info(
            "Turn admitted.",
            extra={
                "program": context.program,
                "previous": context.previous_turn,
                "bytes_before": len(admission.text),
                "ran_before_at": admission.target,
                "reserved": context.max_tokens,
                "budget": context.budget,
                "seats_version": self.quorum.seats.table.version,
            },
        )
        return admission

    def find_event_tokens(self, service: str) -> int:
        """Return the number of tokens in one event of a service."""
        table = self.routes.table
        found = table.services.get(service) if table else None
        return found.engine.event_tokens if found and found.engine else 1


class TurnRelay:
    """Relays the events of one call from a target to its caller.

    Attributes
    ----------
    tokens : int
        Number of tokens sent to the caller so far.
    is_stored : bool
        Whether a quorum of holders has stored the turn and its token count.
    """

    def __init__(
        self,
        handler: StreamCallHandler,
        request: CallerRequest,
        writer: ReplyWriter,
        call: Call,
        route: Route,
        service: str,
        admission: TurnAdmission,
    ) -> None:
        self.handler = handler
        self.request = request
        self.writer = writer
        self.call = call
        self.route = route
        self.service = service
        self.slowdown_meter = handler.admission_controller.slowdown_meters[service]
        self.tokens = 0
        self.is_stored = False
        self.output: list[bytes] = []
        self.kept = handler.target_client.hold(HeldCause.KEPT_EVENTS)
        self.programs = admission.programs
        body = admission.text + request.body
        self.attempts = Attempts(
            handler.target_client,
            handler.metrics,
            request,
            call,
            route,
            self.service,
            body,
            admission.target,
            self.slowdown_meter,
        )

    def run(self) -> None:
        """Relay the response until it is complete."""
        opened = self.attempts.open()
        finished = False
        try:
            if opened.answer.status == OK:
                self.relay_events(opened)
            else:
                self.relay_error_response(opened)
            self.handler.target_client.finish(opened)
            finished = True
        except TargetFailureError as error:
            self.handle_broken_stream(opened, error)
        finally:
            if not finished:
                self.handler.target_client.abandon(opened)
        if opened.answer.status == OK:
            self.complete(opened)

    def relay_error_response(self, opened: OpenResponse) -> None:
        """Relay a response of the target whose status is not 200."""
        client = self.handler.target_client
        with client.hold(HeldCause.ANSWER) as amount:
            body = client.read_full_body(opened, amount)
            headers = opened.answer.headers.select_end_to_end()
            self.writer.write_whole(opened.answer.status, headers, body)

    def relay_events(self, opened: OpenResponse) -> None:
        """Forward events as they arrive until the target's response is complete."""
        splitter = EventSplitter()
        answer = opened.answer
        event_tokens = self.handler.find_event_tokens(self.service)
        last_event_at = None
        while True:
            events = splitter.feed(answer.take_parts())
            if events:
                last_event_at = self.record_latency(opened, last_event_at, len(events))
            for event in events:
                self.forward_event(opened, event, event_tokens)
            if answer.is_complete:
                break
            opened.connection.receive(self.attempts.deadline - time.monotonic())
        if splitter.rest.strip():
            raise TargetFailureError("ended within an event", Verdict.MAY_HAVE_RUN)

    def record_latency(
        self, opened: OpenResponse, last_event_at: float | None, events: int
    ) -> float:
        """Record the latency of these events; return their arrival time."""
        target = opened.target.incarnation
        now = time.monotonic()
        if last_event_at is not None:
            self.slowdown_meter.record_event_gaps(
                target, now, now - last_event_at, events
            )
            return now
        self.slowdown_meter.record_first_event(target, now, now - opened.sent_at)
        if events > 1:
            self.slowdown_meter.record_event_gaps(target, now, 0.0, events - 1)
        return now

    def forward_event(
        self, opened: OpenResponse, event: bytes, event_tokens: int
    ) -> None:
        """Send one event to the caller, after the headers if it is the first."""
        if not self.writer.started:
            headers = opened.answer.headers.select_end_to_end()
            self.writer.start_stream(opened.answer.status, headers)
        data = read_data(event)
        if data is not None:
            self.tokens += event_tokens
            self.output.append(data + b"\n")
            self.kept.grow(len(data) + 1)
        self.writer.write_part(event)

    def handle_broken_stream(
        self, opened: OpenResponse, error: TargetFailureError
    ) -> None:
        """Raise for a stream that broke; the call has run, so it is not retried."""
        self.handler.target_client.handle_failure(opened.target, self.call, error)
        if self.writer.started:
            self.handler.metrics.count("turns.broken")
            raise CallRefusedError(502, error.reason)
        raise self.attempts.make_final_error(error.reason)

    def complete(self, opened: OpenResponse) -> None:
        """Store the turn, then end the caller's stream.

        The order matters: the caller's next turn can only continue a turn that a
        quorum has stored.
        """
        if self.route.retains_turns:
            self.store_turn(opened)
        if not self.writer.started:
            headers = opened.answer.headers.select_end_to_end()
            self.writer.start_stream(opened.answer.status, headers)
        self.writer.end_stream()

    def store_turn(self, opened: OpenResponse) -> None:
        """Store the turn at a quorum of holders, trying for as long as the call has.

        The turn has run, so giving up early would only cost the caller its output.
        """
        context = self.call.program
        turn = Turn(
            program=self.call.program_key,
            turn=self.call.id,
            previous=context.previous_turn,
            input=self.request.body,
            output=b"".join(self.output),
            tokens=self.tokens,
            target=opened.target.incarnation,
            keep_seconds=self.route.retention_seconds,
            continued=tuple(p for p in self.programs if p != self.call.program_key),
        )
        seconds_left = self.attempts.deadline - time.monotonic()
        try:
            self.handler.quorum.write(turn, seconds_left)
        except NoQuorumError as error:
            raise CallRefusedError(502, str(error)) from None
        self.is_stored = True
        log.info(
            "Turn stored.", extra={"program": context.program, "tokens": self.tokens}
        )
