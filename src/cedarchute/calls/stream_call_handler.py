"""A call whose answer is a stream of events: a turn of a program, or a call alone."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from cedarchute.calls.attempts import Attempts
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.relay.event_splitter import EventSplitter, read_data
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
    """Relays streams: turns are kept, and budgets hold on whatever route.

    A call that names a budget is booked at the holders of its program also where
    turns are not kept: a program that loops without end would exceed it there. They
    write down its tokens, and no text.
    """

    def __init__(
        self,
        exchange: TargetClient,
        quorum: TurnQuorum,
        routes: ActiveRouteTable,
        gate: ProgramAdmissionController,
        metrics: Metrics,
    ) -> None:
        self.gate = gate
        self.exchange = exchange
        self.quorum = quorum
        self.routes = routes
        self.metrics = metrics

    def run(
        self, request: CallerRequest, writer: ReplyWriter, call: Call, route: Route
    ) -> None:
        """Answer one call; raise `CallRefusedError` when it is given up."""
        service = self.exchange.choice.select_service(route)
        self.gate.check(call, route, service)
        is_booked = route.retains_turns or call.program.budget is not None
        admission = self.admit(call) if is_booked else TurnAdmission(b"", "")
        relay = TurnRelay(self, request, writer, call, route, service, admission)
        try:
            relay.run()
            self.note_end(relay, admission)
        finally:
            if is_booked and not relay.kept:
                self.quorum.settle(call.program_key, call.id, relay.tokens)

    def note_end(self, relay: TurnRelay, admission: TurnAdmission) -> None:
        """Let the gate learn how much of its program's time a whole turn used."""
        call = relay.call
        age = admission.age_seconds
        if (
            age is None
            or call.program.soft_deadline_seconds is None
            or not relay.tokens
        ):
            return
        took = time.monotonic() - relay.request.read_at
        left = max(0.0, call.program.soft_deadline_seconds - took)
        self.gate.note_end(relay.route, relay.service, age + took, left)

    def admit(self, call: Call) -> TurnAdmission:
        """Reserve the turn's tokens and read what it goes on from."""
        terms = call.program
        if not terms.program:
            raise CallRefusedError(400, "a turn or a budget names its program")
        try:
            admission = self.quorum.begin(
                call.program_key,
                call.id,
                terms.max_tokens,
                terms.previous_turn,
                terms.budget,
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
                "program": terms.program,
                "previous": terms.previous_turn,
                "bytes_before": len(admission.text),
                "ran_before_at": admission.target,
                "reserved": terms.max_tokens,
                "budget": terms.budget,
                "seats_version": self.quorum.seats.table.version,
            },
        )
        return admission

    def event_tokens(self, service: str) -> int:
        """Return how many tokens one event of a service carries."""
        table = self.routes.table
        found = table.services.get(service) if table else None
        return found.engine.event_tokens if found and found.engine else 1


class TurnRelay:
    """One turn on its way from a target to its caller.

    Attributes
    ----------
    tokens : int
        Tokens handed to the caller so far.
    kept : bool
        Whether the turn stands on a quorum, with its tokens.
    """

    def __init__(
        self,
        desk: StreamCallHandler,
        request: CallerRequest,
        writer: ReplyWriter,
        call: Call,
        route: Route,
        service: str,
        admission: TurnAdmission,
    ) -> None:
        self.desk = desk
        self.request = request
        self.writer = writer
        self.call = call
        self.route = route
        self.service = service
        self.meter = desk.gate.meters[service]
        self.tokens = 0
        self.kept = False
        self.output: list[bytes] = []
        body = admission.text + request.body
        self.attempts = Attempts(
            desk.exchange,
            desk.metrics,
            request,
            call,
            route,
            self.service,
            body,
            admission.target,
            self.meter,
        )

    def run(self) -> None:
        """Relay the turn to its end."""
        opened = self.attempts.open()
        finished = False
        try:
            if opened.answer.status == OK:
                self.relay_events(opened)
            else:
                self.relay_failure(opened)
            self.desk.exchange.finish(opened)
            finished = True
        except TargetFailureError as error:
            self.note_broken(opened, error)
        finally:
            if not finished:
                self.desk.exchange.abandon(opened)
        if opened.answer.status == OK:
            self.end(opened)

    def relay_failure(self, opened: OpenResponse) -> None:
        """Pass a target's own failure on."""
        body = self.desk.exchange.read_rest(opened)
        headers = opened.answer.headers.select_end_to_end()
        self.writer.write_whole(opened.answer.status, headers, body)

    def relay_events(self, opened: OpenResponse) -> None:
        """Pass events on as they come, until the target's answer is whole."""
        splitter = EventSplitter()
        answer = opened.answer
        event_tokens = self.desk.event_tokens(self.service)
        last_at = None
        while True:
            events = splitter.feed(answer.take_parts())
            if events:
                last_at = self.record_pace(opened, last_at, len(events))
            for event in events:
                self.pass_on(opened, event, event_tokens)
            if answer.is_complete:
                break
            opened.connection.receive(self.attempts.until - time.monotonic())
        if splitter.rest.strip():
            raise TargetFailureError("ended within an event", Verdict.MAY_HAVE_RUN)

    def record_pace(
        self, opened: OpenResponse, last_at: float | None, events: int
    ) -> float:
        """Take in how long these events took; return when they came."""
        target = opened.target.incarnation
        now = time.monotonic()
        if last_at is not None:
            self.meter.record_event_gaps(target, now, now - last_at, events)
            return now
        self.meter.record_first_event(target, now, now - opened.sent_at)
        if events > 1:
            self.meter.record_event_gaps(target, now, 0.0, events - 1)
        return now

    def pass_on(self, opened: OpenResponse, event: bytes, event_tokens: int) -> None:
        """Pass one event on."""
        if not self.writer.started:
            headers = opened.answer.headers.select_end_to_end()
            self.writer.start_stream(opened.answer.status, headers)
        data = read_data(event)
        if data is not None:
            self.tokens += event_tokens
            self.output.append(data + b"\n")
        self.writer.write_part(event)

    def note_broken(self, opened: OpenResponse, error: TargetFailureError) -> None:
        """Give up a turn whose stream broke; it ran, so it is not tried again."""
        self.desk.exchange.note_failure(opened.target, self.call, error)
        if self.writer.started:
            self.desk.metrics.count("turns.broken")
            raise CallRefusedError(502, error.reason)
        raise self.attempts.give_up(error.reason)

    def end(self, opened: OpenResponse) -> None:
        """Keep the turn, then tell the caller that it is whole.

        Until a quorum holds it, the next turn could not go on from it.
        """
        if not self.writer.started:
            headers = opened.answer.headers.select_end_to_end()
            self.writer.start_stream(opened.answer.status, headers)
        if self.route.retains_turns:
            self.keep(opened)
        self.writer.end_stream()

    def keep(self, opened: OpenResponse) -> None:
        """Write the turn down at a quorum."""
        terms = self.call.program
        turn = Turn(
            program=self.call.program_key,
            turn=self.call.id,
            previous=terms.previous_turn,
            input=self.request.body,
            output=b"".join(self.output),
            tokens=self.tokens,
            target=opened.target.incarnation,
            keep_seconds=self.route.retention_seconds,
        )
        try:
            self.desk.quorum.write(turn)
        except NoQuorumError as error:
            raise CallRefusedError(503, str(error)) from None
        self.kept = True
        log.info("Turn kept.", extra={"program": terms.program, "tokens": self.tokens})
