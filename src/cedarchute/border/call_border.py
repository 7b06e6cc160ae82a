"""Serves calls received by any box, forwarding them to the program's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from werkzeug.wrappers import Response

from cedarchute.border.answers import make_answer
from cedarchute.border.call_exchange import ANSWER_MARGIN_SECONDS
from cedarchute.border.call_problems import make_reroute_response, make_timeout_problem
from cedarchute.border.forwarder import make_response
from cedarchute.border.stream_relay import STREAM_TYPE, is_stream
from cedarchute.border.web_app import make_json_response, make_problem_response
from cedarchute.copies.owned_partition import PartitionMovedError

if TYPE_CHECKING:
    from cedarchute.border.call_exchange import CallExchange
    from cedarchute.border.forwarder import Forwarder
    from cedarchute.border.home_follower import HomeFollower
    from cedarchute.border.run_finder import RunFinder
    from cedarchute.border.stream_relay import StreamRelay
    from cedarchute.clock import Clock
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.programs.call_run import CallRun


class CallBorder:
    """Answers a call with one document or a stream.

    Each call has an idempotency key, so a retry is safe: the owner of the program
    returns the existing response.
    """

    def __init__(
        self,
        finder: RunFinder,
        follower: HomeFollower,
        forwarder: Forwarder,
        relay: StreamRelay,
        clock: Clock,
    ) -> None:
        self.finder = finder
        self.follower = follower
        self.forwarder = forwarder
        self.relay = relay
        self.clock = clock

    def answer(self, exchange: CallExchange) -> Response:
        """Return the response of a call, as a document or a stream."""
        try:
            return self.follower.follow(
                exchange,
                lambda: self.answer_locally(exchange),
                lambda box: self.answer_remotely(exchange, box),
            )
        except PartitionMovedError:
            return make_reroute_response()

    def answer_locally(self, exchange: CallExchange) -> Response:
        """Serve a call of a program that this box owns."""
        run = self.finder.find(exchange)
        if exchange.is_stream:
            events = self.relay.read(exchange, self.relay.read_local(exchange, run))
            return Response(events, content_type=STREAM_TYPE, direct_passthrough=True)
        self.wait(exchange, run)
        if run.problem is not None:
            return make_problem_response(run.problem)
        assert run.outcome is not None
        return make_json_response(make_answer(exchange.program, run.outcome))

    def wait(self, exchange: CallExchange, run: CallRun) -> None:
        """Wait until a run has finished.

        Raises
        ------
        PartitionMovedError
            When another box took the program over in the meantime.
        Problem
            ``answer_late`` when the run exceeds the timeout of the request.
        """
        started = self.clock.monotonic()
        limit = exchange.seconds + ANSWER_MARGIN_SECONDS
        while not run.is_done:
            if self.clock.monotonic() - started > limit:
                raise make_timeout_problem()
            run.wait(1.0)
        if run.is_moved:
            raise PartitionMovedError(exchange.partition)

    def answer_remotely(self, exchange: CallExchange, box: BoxRecord) -> Response:
        """Forward a call to `box`, which owns the program."""
        request = exchange.make_forwarded_request(box)
        if not exchange.is_stream:
            return self.forwarder.fetch(request)
        answer = self.forwarder.open(request)
        if not is_stream(answer):
            return make_response(answer, self.forwarder.read_body(request, answer))
        events = self.relay.read(
            exchange, self.relay.read_remote(exchange, box, answer)
        )
        return make_response(answer, events)
