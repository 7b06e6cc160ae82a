"""Handles calls whose response is buffered and then sent as a whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.calls.attempts import Attempts
from cedarchute.calls.body_relay import relay_long_body
from cedarchute.pressure.held_bytes import HeldCause
from cedarchute.relay.target_answer import MIN_SERVER_ERROR
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.routing.route import Repeatability

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.target_client import OpenResponse, TargetClient
    from cedarchute.metrics import Metrics
    from cedarchute.pressure.held_amount import HeldAmount
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.routing.route import Route


class PlainCallHandler:
    """Relays calls to plain services without another box and without stored state.

    The box that holds the caller's connection alone guarantees that a call which is
    not repeatable is sent at most once.
    """

    def __init__(self, target_client: TargetClient, metrics: Metrics) -> None:
        self.target_client = target_client
        self.metrics = metrics

    def run(
        self, request: CallerRequest, writer: ReplyWriter, call: Call, route: Route
    ) -> None:
        """Relay one call; raise `CallRefusedError` if no target answers it."""
        service = self.target_client.load_balancer.select_service(route)
        attempts = Attempts(
            self.target_client,
            self.metrics,
            request,
            call,
            route,
            service,
            request.body,
            call_order=self.target_client.call_order,
            crash_watch=self.target_client.watch_crashes(request, call),
        )
        is_answered = False
        try:
            while not is_answered:
                opened = attempts.open()
                with self.target_client.hold(HeldCause.ANSWER) as amount:
                    is_answered = self.relay(writer, attempts, opened, amount)
        finally:
            attempts.crash_watch.close()

    def relay(
        self,
        writer: ReplyWriter,
        attempts: Attempts,
        opened: OpenResponse,
        amount: HeldAmount,
    ) -> bool:
        """Relay a response; return False if the call should be retried elsewhere."""
        body = self.read_body(attempts, opened, amount)
        if body is None:
            return False
        answer = opened.answer
        if answer.status >= MIN_SERVER_ERROR and self.may_repeat(attempts):
            self.metrics.count_retry("target_error")
            if not answer.is_complete:
                attempts.crash_watch.record_answer(answer.status)
                self.target_client.abandon(opened)
            return False
        if not answer.is_complete:
            relay_long_body(self.target_client, writer, attempts, opened, amount)
            return True
        headers = answer.headers.select_end_to_end()
        writer.write_whole(answer.status, headers, body)
        return True

    def read_body(
        self, attempts: Attempts, opened: OpenResponse, amount: HeldAmount
    ) -> bytes | None:
        """Return the body, or None if the call should be retried elsewhere.

        The response of one that is too long to be held stays open.
        """
        is_usable = False
        try:
            body = self.target_client.read_body(opened, amount)
            if opened.answer.is_complete:
                self.target_client.finish(opened)
                attempts.crash_watch.record_answer(opened.answer.status)
            is_usable = True
        except TargetFailureError as error:
            self.target_client.handle_failure(opened.target, attempts.call, error)
            attempts.crash_watch.record_failure(opened.target, error)
            attempts.ensure_repeatable(error.reason)
            return None
        finally:
            if not is_usable:
                self.target_client.abandon(opened)
        return body

    def may_repeat(self, attempts: Attempts) -> bool:
        """Return whether to retry at another target after a server error."""
        route = attempts.route
        if route.repeatability is not Repeatability.REPEATABLE:
            return False
        if attempts.possible_runs >= route.max_targets:
            return False
        load_balancer = self.target_client.load_balancer
        return load_balancer.select_target(attempts.service, attempts.tried) is not None
