"""Streams the events of a call from the box that owns its program."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet
import urllib3
from werkzeug.wrappers import Response

from cedarchute.border.answers import (
    make_delta_event,
    make_final_events,
    make_problem_document_events,
    make_problem_events,
    make_restart_event,
)
from cedarchute.border.call_exchange import ANSWER_MARGIN_SECONDS
from cedarchute.border.call_problems import make_timeout_problem
from cedarchute.border.event_buffer import EventBuffer
from cedarchute.border.reroute_error import RerouteError
from cedarchute.problem import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarchute.border.call_exchange import CallExchange
    from cedarchute.border.forwarder import Forwarder
    from cedarchute.border.home_follower import HomeFollower
    from cedarchute.border.run_finder import RunFinder
    from cedarchute.clock import Clock
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.metrics import Metrics
    from cedarchute.programs.call_run import CallRun

log = logging.getLogger("cedarchute.border")

STREAM_TYPE: Final = "text/event-stream"


class StreamRelay:
    """Streams a call to its caller and resumes at the next owner after a loss."""

    def __init__(
        self,
        finder: RunFinder,
        follower: HomeFollower,
        forwarder: Forwarder,
        coalesce_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.finder = finder
        self.follower = follower
        self.forwarder = forwarder
        self.coalesce_seconds = coalesce_seconds
        self.clock = clock
        self.metrics = metrics

    def read(self, exchange: CallExchange, events: Iterator[bytes]) -> Iterator[bytes]:
        """Yield `events`; resume the stream at the next owner if it is interrupted."""
        is_complete = yield from events
        while not is_complete and not exchange.is_forwarded:
            self.metrics.count_retry("stream_home_lost")
            try:
                events = self.reopen_stream(exchange)
            except Problem as problem:
                yield make_problem_events(problem)
                return
            is_complete = yield from events

    def reopen_stream(self, exchange: CallExchange) -> Iterator[bytes]:
        """Return the rest of a stream from the current owner."""
        found: list[Iterator[bytes]] = []

        def open_local() -> Response:
            run = self.finder.find(exchange)
            found.append(self.read_local(exchange, run))
            return Response()

        def open_remote(box: BoxRecord) -> Response:
            request = exchange.make_forwarded_request(box)
            answer = self.forwarder.open(request)
            if is_stream(answer):
                found.append(self.read_remote(exchange, box, answer))
            else:
                document = self.forwarder.read_body(request, answer)
                found.append(stream_problem_document(document))
            return Response()

        self.follower.follow(exchange, open_local, open_remote)
        return found[0]

    def read_local(self, exchange: CallExchange, run: CallRun) -> Iterator[bytes]:
        """Yield the events of a run on this box; return whether the stream is complete.

        The first text is sent at once. After each event the task sleeps for
        `coalesce_seconds`, so that the tokens of that time are sent as one event.
        """
        started = self.clock.monotonic()
        limit = exchange.seconds + ANSWER_MARGIN_SECONDS
        while True:
            if run.attempt != exchange.attempt:
                exchange.attempt = run.attempt
                if exchange.offset:
                    exchange.offset = 0
                    yield make_restart_event(run.attempt)
            text = run.read_from(exchange.offset)
            if text:
                exchange.offset += len(text)
                yield make_delta_event(run.attempt, exchange.offset, text)
                if not run.is_done:
                    eventlet.sleep(self.coalesce_seconds)
                continue
            if run.is_done:
                break
            run.wait(1.0)
            if self.clock.monotonic() - started > limit:
                yield make_problem_events(make_timeout_problem())
                return True
        if run.is_moved:
            return False
        if run.problem is not None:
            yield make_problem_events(run.problem)
        else:
            assert run.outcome is not None
            yield make_final_events(exchange.program, run.outcome)
        return True

    def read_remote(
        self,
        exchange: CallExchange,
        box: BoxRecord,
        answer: urllib3.BaseHTTPResponse,
    ) -> Iterator[bytes]:
        """Yield another box's events unchanged; return whether the stream is complete.

        Only complete events are forwarded, so that an interrupted stream can be
        resumed from another box at the offset of the last one.
        """
        buffer = EventBuffer(exchange.attempt, exchange.offset)
        try:
            while chunk := self.read_chunk(exchange, box, answer):
                data = buffer.feed(chunk)
                if data:
                    exchange.attempt = buffer.attempt
                    exchange.offset = buffer.offset
                    yield data
        except (urllib3.exceptions.HTTPError, OSError, RerouteError) as error:
            log.info("Stream of %s was interrupted: %s.", exchange.program, error)
        except BaseException:
            answer.close()
            raise
        if buffer.is_complete:
            answer.release_conn()
        else:
            answer.close()
        return buffer.is_complete

    def read_chunk(
        self,
        exchange: CallExchange,
        box: BoxRecord,
        answer: urllib3.BaseHTTPResponse,
    ) -> bytes:
        """Return the next bytes from another box, waiting for them if needed."""
        with self.forwarder.watch.waiting(exchange.partition, box.identity):
            return answer.read1(65_536)


def is_stream(answer: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a response of another box is an event stream."""
    return answer.headers.get("Content-Type", "").startswith(STREAM_TYPE)


def stream_problem_document(document: bytes) -> Iterator[bytes]:
    """Yield another box's problem as the end of a stream.

    The stream counts as complete: a caller takes a problem as final and must not
    receive more text after it.
    """
    yield make_problem_document_events(document)
    return True
