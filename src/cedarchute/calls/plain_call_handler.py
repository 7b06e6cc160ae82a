"""A call whose answer is passed on once it is whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.calls.attempts import Attempts
from cedarchute.calls.target_client import SERVER_ERROR
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.routing.route import Repeatability

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.target_client import OpenResponse, TargetClient
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.routing.route import Route


class PlainCallHandler:
    """Relays calls of plain services: no hop and no record.

    The box that holds the caller's connection sees alone to it that a call which
    may not be repeated is sent at most once.
    """

    def __init__(self, exchange: TargetClient, metrics: Metrics) -> None:
        self.exchange = exchange
        self.metrics = metrics

    def run(
        self, request: CallerRequest, writer: ReplyWriter, call: Call, route: Route
    ) -> None:
        """Answer one call; raise `CallRefusedError` when it is given up."""
        service = self.exchange.choice.select_service(route)
        attempts = Attempts(
            self.exchange, self.metrics, request, call, route, service, request.body
        )
        while True:
            opened = attempts.open()
            body = self.read_body(attempts, opened)
            if body is None:
                continue
            answer = opened.answer
            if answer.status >= SERVER_ERROR and self.may_repeat(attempts):
                self.metrics.count_retry("target_error")
                continue
            headers = answer.headers.select_end_to_end()
            writer.write_whole(answer.status, headers, body)
            return

    def read_body(self, attempts: Attempts, opened: OpenResponse) -> bytes | None:
        """Return the whole body, or None when another target is to be tried."""
        finished = False
        try:
            body = self.exchange.read_rest(opened)
            self.exchange.finish(opened)
            finished = True
        except TargetFailureError as error:
            self.exchange.note_failure(opened.target, attempts.call, error)
            attempts.check_repeatable(error.reason)
            return None
        finally:
            if not finished:
                self.exchange.abandon(opened)
        return body

    def may_repeat(self, attempts: Attempts) -> bool:
        """Tell whether a target's own failure is tried once more elsewhere."""
        route = attempts.route
        if route.repeatability is not Repeatability.REPEATABLE:
            return False
        if attempts.runs >= route.max_targets:
            return False
        choice = self.exchange.choice
        return choice.select_target(attempts.service, attempts.tried) is not None
