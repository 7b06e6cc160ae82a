"""Relays the response of one stream call, and stores its turn."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.calls.attempts import Attempts
from cedarchute.calls.body_relay import relay_long_body
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.stream_position import StreamPosition
from cedarchute.calls.stream_resumption import BrokenStream, may_resume
from cedarchute.pressure.held_bytes import HeldCause
from cedarchute.relay.answer_too_long import AnswerPart, AnswerTooLongError
from cedarchute.relay.event_splitter import EventSplitter, read_data
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.records import Turn
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.stream_call_handler import StreamCallHandler
    from cedarchute.calls.target_client import OpenResponse
    from cedarchute.pressure.held_amount import HeldAmount
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.routing.route import Route
    from cedarchute.turns.turn_admission import TurnAdmission

log = logging.getLogger("cedarchute.calls")

OK: Final = 200
# After as many events that came together, other calls have their turn.
EVENTS_PER_TURN: Final = 64


class TurnRelay:
    """Relays the events of one call from a target to its caller.

    Attributes
    ----------
    tokens : int
        Number of tokens sent to the caller so far.
    is_stored : bool
        Whether a quorum of holders has stored the turn and its token count.
    position : StreamPosition or None
        Where the caller stands in a stream that may be resumed; None for any other.
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
        self.output = bytearray()
        self.kept = handler.target_client.hold(HeldCause.KEPT_EVENTS)
        self.event_start = handler.target_client.hold(HeldCause.ANSWER)
        self.position = (
            StreamPosition() if handler.resumes_streams and route.is_resumable else None
        )
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
            handler.target_client.call_order,
            handler.target_client.watch_crashes(request, call),
        )

    def run(self) -> None:
        """Relay the response until it is complete."""
        try:
            self.relay_until_complete()
        finally:
            self.event_start.release()
            self.attempts.crash_watch.close()

    def relay_until_complete(self) -> None:
        """Relay the response, from other targets where a stream may go on."""
        opened = self.attempts.open()
        error = self.relay_response(opened)
        while error is not None:
            self.handle_broken_stream(opened, error)
            opened, error = self.resume(opened)
        if opened.answer.status == OK:
            self.complete(opened)

    def relay_response(self, opened: OpenResponse) -> TargetFailureError | None:
        """Relay the response of one target; return how it broke, None if complete.

        The connection to a target that broke off is closed.
        """
        finished = False
        try:
            if opened.answer.status == OK:
                self.relay_events(opened)
            elif self.attempts.is_resumed:
                reason = f"resumed with {opened.answer.status}"
                raise TargetFailureError(reason, Verdict.MAY_HAVE_RUN)
            elif not self.relay_error_response(opened):
                finished = True
                return None
            self.handler.target_client.finish(opened)
            finished = True
            self.attempts.crash_watch.record_answer(opened.answer.status)
        except TargetFailureError as error:
            self.handler.target_client.handle_failure(opened.target, self.call, error)
            self.attempts.crash_watch.record_failure(opened.target, error)
            return error
        finally:
            if not finished:
                self.handler.target_client.abandon(opened)
        return None

    def relay_error_response(self, opened: OpenResponse) -> bool:
        """Relay a response of the target whose status is not 200.

        Return whether the response is still to be finished.
        """
        client = self.handler.target_client
        with client.hold(HeldCause.ANSWER) as amount:
            body = client.read_body(opened, amount)
            if not opened.answer.is_complete:
                relay_long_body(client, self.writer, self.attempts, opened, amount)
                return False
            headers = opened.answer.headers.select_end_to_end()
            self.writer.write_whole(opened.answer.status, headers, body)
        return True

    def relay_events(self, opened: OpenResponse) -> None:
        """Forward events as they arrive until the target's response is complete."""
        splitter = EventSplitter(self.handler.target_client.limits.event_bytes)
        answer = opened.answer
        event_tokens = self.handler.find_event_tokens(self.service)
        last_event_at = None
        while True:
            events = splitter.feed(answer.take_parts())
            self.event_start.resize(len(splitter.rest))
            self.check_memory(self.event_start, AnswerPart.EVENT)
            if events:
                last_event_at = self.record_latency(opened, last_event_at, len(events))
            for number, event in enumerate(events, 1):
                self.forward_event(opened, event, event_tokens)
                if number % EVENTS_PER_TURN == 0:
                    eventlet.sleep(0)
            if answer.is_complete:
                break
            self.handler.target_client.receive(opened, self.attempts.deadline)
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
        if self.attempts.is_resumed:
            self.check_resumed_event(event)
        data = read_data(event)
        if data is not None:
            self.tokens += event_tokens
            self.keep_output(data)
        self.writer.write_part(event)
        if self.position is not None:
            self.position.advance(event)

    def keep_output(self, data: bytes) -> None:
        """Keep the data of an event until the turn is stored.

        Raises
        ------
        AnswerTooLongError
            When the turn goes on for too long.
        """
        if not self.route.retains_turns:
            return
        self.output += data + b"\n"
        self.kept.grow(len(data) + 1)
        self.check_memory(self.kept, AnswerPart.TURN)

    def check_memory(self, amount: HeldAmount, part: AnswerPart) -> None:
        """Raise `AnswerTooLongError` when more is held than one answer may hold."""
        memory = self.handler.target_client.memory
        if not memory.allows(amount.count):
            raise AnswerTooLongError(part, memory.max_bytes)

    def check_resumed_event(self, event: bytes) -> None:
        """Raise if an event of a resumed stream must not reach the caller.

        A target that does not heed where to go on would have the caller get events
        twice, or more tokens than were reserved for them.
        """
        if not self.position.follows(event):
            reason = "resumed with an event that does not follow"
            raise TargetFailureError(reason, Verdict.MAY_HAVE_RUN)
        context = self.call.program
        if read_data(event) is None or context.budget is None:
            return
        if self.tokens >= context.max_tokens:
            reason = "resumed beyond the reserved tokens"
            raise TargetFailureError(reason, Verdict.MAY_HAVE_RUN)

    def handle_broken_stream(
        self, opened: OpenResponse, error: TargetFailureError
    ) -> None:
        """Return if another target may go on with a broken stream; raise otherwise.

        The call has run, so it is not retried from its start.
        """
        if self.position is not None:
            seconds_left = self.attempts.deadline - time.monotonic()
            stream = BrokenStream(
                self.route.is_resumable,
                self.attempts.possible_runs,
                self.route.max_targets,
                self.position.last_event_id,
                seconds_left,
            )
            if may_resume(stream):
                return
        if self.writer.started:
            self.handler.metrics.count("turns.broken")
            raise CallRefusedError(502, error.reason)
        raise self.attempts.make_final_error(error.reason)

    def resume(
        self, broken: OpenResponse
    ) -> tuple[OpenResponse, TargetFailureError | None]:
        """Relay the rest of a stream from another target.

        Return its response, and how it broke off as well, None if it is complete.
        """
        last_event_id = self.position.last_event_id
        try:
            opened = self.attempts.resume(broken.target, last_event_id)
        except CallRefusedError as refusal:
            self.handler.metrics.count("turns.broken")
            self.record_resumption("", last_event_id, refusal.reason)
            raise
        error = self.relay_response(opened)
        outcome = error.reason if error else "complete"
        self.record_resumption(opened.target.id, last_event_id, outcome)
        return opened, error

    def record_resumption(
        self, target_id: str, last_event_id: bytes, outcome: str
    ) -> None:
        """Count and log a stream that another target went on with, or none did."""
        is_complete = outcome == "complete"
        counter = "streams.resumed" if is_complete else "streams.resume_failed"
        self.handler.metrics.count(counter)
        log.info(
            "Stream resumed." if is_complete else "Stream not resumed.",
            extra={
                "target": target_id,
                "last_event": last_event_id.decode("latin-1"),
                "sends": self.call.progress.sends,
                "outcome": outcome,
            },
        )

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
            output=bytes(self.output),
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
