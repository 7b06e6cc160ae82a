"""Relays the response of one stream call, and stores its turn."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

from cedarchute.calls.attempts import Attempts
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.relay.event_splitter import EventSplitter, read_data
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.records import Turn
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.stream_call_handler import StreamCallHandler
    from cedarchute.calls.target_client import OpenResponse
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.routing.route import Route
    from cedarchute.turns.turn_admission import TurnAdmission

log = logging.getLogger("cedarchute.calls")

OK: Final = 200


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
        body = self.handler.target_client.read_full_body(opened)
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
