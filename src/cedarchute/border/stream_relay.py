"""Passes the events of a call on, from whichever box is its home."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet
import urllib3
from werkzeug.wrappers import Response

from cedarchute.border.answers import (
    make_end_events,
    make_piece_event,
    make_problem_events,
    make_refusal_events,
    make_restart_event,
)
from cedarchute.border.call_exchange import ANSWER_MARGIN_SECONDS
from cedarchute.border.call_problems import make_late_problem
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
    """Streams a call to its caller, on from its next home when one is lost."""

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
        """Yield events to the end, from the next home when one is lost."""
        is_whole = yield from events
        while not is_whole and not exchange.is_forwarded:
            self.metrics.count_retry("stream_home_lost")
            try:
                events = self.find_events(exchange)
            except Problem as problem:
                yield make_problem_events(problem)
                return
            is_whole = yield from events

    def find_events(self, exchange: CallExchange) -> Iterator[bytes]:
        """Return the rest of a stream from wherever the home is now."""
        found: list[Iterator[bytes]] = []

        def here() -> Response:
            run = self.finder.find(exchange)
            found.append(self.read_here(exchange, run))
            return Response()

        def there(box: BoxRecord) -> Response:
            request = exchange.to(box)
            answer = self.forwarder.open(request)
            if is_stream(answer):
                found.append(self.read_there(exchange, box, answer))
            else:
                document = self.forwarder.read_whole(request, answer)
                found.append(tell_refusal(document))
            return Response()

        self.follower.follow(exchange, here, there)
        return found[0]

    def read_here(self, exchange: CallExchange, run: CallRun) -> Iterator[bytes]:
        """Yield what a run on this box streams; return whether it is whole.

        The first text goes out at once. After each event the task sleeps for a
        moment, so that the tokens of that time go out as one event.
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
                yield make_piece_event(run.attempt, exchange.offset, text)
                if not run.is_done:
                    eventlet.sleep(self.coalesce_seconds)
                continue
            if run.is_done:
                break
            run.wait(1.0)
            if self.clock.monotonic() - started > limit:
                yield make_problem_events(make_late_problem())
                return True
        if run.is_moved:
            return False
        if run.problem is not None:
            yield make_problem_events(run.problem)
        else:
            assert run.outcome is not None
            yield make_end_events(exchange.program, run.outcome)
        return True

    def read_there(
        self,
        exchange: CallExchange,
        box: BoxRecord,
        answer: urllib3.BaseHTTPResponse,
    ) -> Iterator[bytes]:
        """Yield another box's events as they are; return whether they are whole.

        Only whole events are passed on, so that a stream that breaks off can go on
        from another box at the offset of the last one.
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
            log.info("Stream of %s broke off: %s.", exchange.program, error)
        except BaseException:
            answer.close()
            raise
        if buffer.is_whole:
            answer.release_conn()
        else:
            answer.close()
        return buffer.is_whole

    def read_chunk(
        self,
        exchange: CallExchange,
        box: BoxRecord,
        answer: urllib3.BaseHTTPResponse,
    ) -> bytes:
        """Return what another box has sent, or wait until it does."""
        with self.forwarder.watch.waiting(exchange.partition, box.identity):
            return answer.read1(65_536)


def is_stream(answer: urllib3.BaseHTTPResponse) -> bool:
    """Return whether another box answers with events."""
    return answer.headers.get("Content-Type", "").startswith(STREAM_TYPE)


def tell_refusal(document: bytes) -> Iterator[bytes]:
    """Yield another box's refusal as the end of a stream, with nothing behind it.

    A caller believes a problem: it would take the rest of the text for another answer.
    """
    yield make_refusal_events(document)
    return True
