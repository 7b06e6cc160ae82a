"""Takes calls at any box and answers them from the program's home."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet
import urllib3
from werkzeug.wrappers import Response

from cedarchute.border.answers import (
    DONE_EVENT,
    make_answer,
    make_end_events,
    make_piece_event,
    make_problem_event,
    make_restart_event,
)
from cedarchute.border.call_problems import (
    make_home_lost_problem,
    make_late_problem,
    make_reroute_response,
)
from cedarchute.border.forwarder import make_response
from cedarchute.border.reroute_error import RerouteError
from cedarchute.border.web_app import make_json_response, make_problem_response
from cedarchute.copies.owned_partition import PartitionMovedError
from cedarchute.problem import Problem
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cedarchute.border.call_exchange import CallExchange
    from cedarchute.border.forwarder import Forwarder
    from cedarchute.border.home_locator import HomeLocator
    from cedarchute.clock import Clock
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.metrics import Metrics
    from cedarchute.programs.call_run import CallRun
    from cedarchute.programs.call_runner import CallRunner
    from cedarchute.programs.home import ProgramHome

log = logging.getLogger("cedarchute.border")

STREAM_TYPE: Final = "text/event-stream"
REROUTE_SECONDS: Final = 0.1
ANSWER_MARGIN_SECONDS: Final = 5.0
TAIL_BYTES: Final = 256


class CallBorder:
    """Follows a call to its home, and to its next home when that is lost.

    A call has a key, so asking again is safe: the home gives the answer it has.
    """

    def __init__(
        self,
        home: ProgramHome,
        runner: CallRunner,
        locator: HomeLocator,
        forwarder: Forwarder,
        coalesce_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.home = home
        self.runner = runner
        self.locator = locator
        self.forwarder = forwarder
        self.coalesce_seconds = coalesce_seconds
        self.clock = clock
        self.metrics = metrics

    def answer(self, exchange: CallExchange) -> Response:
        """Return the answer of a call, whole or as a stream."""
        try:
            return self.follow(
                exchange,
                lambda: self.answer_here(exchange),
                lambda box: self.answer_there(exchange, box),
            )
        except PartitionMovedError:
            return make_reroute_response()

    def follow(
        self,
        exchange: CallExchange,
        here: Callable[[], Response],
        there: Callable[[BoxRecord], Response],
    ) -> Response:
        """Ask the home, and look for it again while it is not found.

        Raises
        ------
        Problem
            ``home_lost`` at once when waiting has no point, or after the time
            that a takeover takes.
        PartitionMovedError
            When another box has passed the request on to the wrong home.
        """
        partition = exchange.partition
        started = self.clock.monotonic()
        while True:
            location = self.locator.locate(partition)
            try:
                if location.is_here:
                    return here()
                if exchange.is_forwarded:
                    raise PartitionMovedError(partition)
                if location.box is not None:
                    return there(location.box)
            except Problem as problem:
                if problem.code != "recovering" or exchange.is_forwarded:
                    raise
            except PartitionMovedError:
                if exchange.is_forwarded:
                    raise
            except RerouteError as error:
                log.info("Looking for %s again: %s.", exchange.program, error)
            if location.box is None and self.locator.is_unknown(partition):
                raise Problem(
                    "unknown_program",
                    f"Program {exchange.program} is not known (any more).",
                    status=404,
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            waited = self.clock.monotonic() - started
            if waited >= min(self.locator.patience, exchange.seconds):
                self.metrics.count_refusal("home_lost")
                raise make_home_lost_problem()
            self.metrics.count_retry("home_lookup")
            eventlet.sleep(REROUTE_SECONDS)

    def answer_here(self, exchange: CallExchange) -> Response:
        """Answer from this box, which is the home."""
        run = self.find_run(exchange)
        if exchange.is_stream:
            events = self.read_stream(exchange, self.read_events(exchange, run))
            return Response(events, content_type=STREAM_TYPE, direct_passthrough=True)
        self.wait(exchange, run)
        if run.problem is not None:
            return make_problem_response(run.problem)
        assert run.outcome is not None
        return make_json_response(make_answer(exchange.program, run.outcome))

    def find_run(self, exchange: CallExchange) -> CallRun:
        """Return the run that a request asks for, started if it is new."""
        program = self.home.find(exchange.program)
        if exchange.request is not None:
            return self.runner.start(program, exchange.key, exchange.request)
        run = self.runner.find(program, exchange.key)
        if run is None:
            raise Problem(
                "unknown_key", f"No call has the key {exchange.key}.", status=404
            )
        return run

    def wait(self, exchange: CallExchange, run: CallRun) -> None:
        """Wait until a run is done.

        Raises
        ------
        PartitionMovedError
            When the program moved meanwhile.
        Problem
            ``answer_late`` when the run takes longer than the request allows.
        """
        started = self.clock.monotonic()
        limit = exchange.seconds + ANSWER_MARGIN_SECONDS
        while not run.is_done:
            if self.clock.monotonic() - started > limit:
                raise make_late_problem()
            run.wait(1.0)
        if run.is_moved:
            raise PartitionMovedError(exchange.partition)

    def answer_there(self, exchange: CallExchange, box: BoxRecord) -> Response:
        """Answer from another box, which is the home."""
        seconds = exchange.seconds + 2 * ANSWER_MARGIN_SECONDS
        if not exchange.is_stream:
            return self.forwarder.fetch(
                exchange.partition,
                box,
                exchange.method,
                exchange.path,
                exchange.body,
                exchange.headers,
                seconds,
            )
        answer = self.open_there(exchange, box)
        if not answer.headers.get("Content-Type", "").startswith(STREAM_TYPE):
            data = answer.read()
            answer.release_conn()
            return make_response(answer, data)
        events = self.read_stream(exchange, self.pass_events(exchange, box, answer))
        return make_response(answer, events)

    def open_there(
        self, exchange: CallExchange, box: BoxRecord
    ) -> urllib3.BaseHTTPResponse:
        """Open a stream at another box, from where the caller has it."""
        return self.forwarder.open(
            exchange.partition,
            box,
            exchange.method,
            exchange.path,
            exchange.body,
            exchange.headers,
            exchange.seconds + 2 * ANSWER_MARGIN_SECONDS,
        )

    def read_stream(
        self, exchange: CallExchange, events: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Yield events to the end, from the next home when one is lost."""
        is_whole = yield from events
        while not is_whole and not exchange.is_forwarded:
            self.metrics.count_retry("stream_home_lost")
            try:
                events = self.find_events(exchange)
            except Problem as problem:
                yield make_problem_event(problem)
                return
            is_whole = yield from events

    def find_events(self, exchange: CallExchange) -> Iterator[bytes]:
        """Return the rest of a stream from wherever the home is now."""
        found: list[Iterator[bytes]] = []

        def here() -> Response:
            run = self.find_run(exchange)
            found.append(self.read_events(exchange, run))
            return Response()

        def there(box: BoxRecord) -> Response:
            answer = self.open_there(exchange, box)
            if not answer.headers.get("Content-Type", "").startswith(STREAM_TYPE):
                data = answer.read()
                answer.release_conn()
                found.append(iter([b"event: problem\ndata: " + data + b"\n\n"]))
                return Response()
            found.append(self.pass_events(exchange, box, answer))
            return Response()

        self.follow(exchange, here, there)
        return found[0]

    def read_events(self, exchange: CallExchange, run: CallRun) -> Iterator[bytes]:
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
                yield make_problem_event(make_late_problem())
                return True
        if run.is_moved:
            return False
        if run.problem is not None:
            yield make_problem_event(run.problem)
        else:
            assert run.outcome is not None
            yield make_end_events(exchange.program, run.outcome)
        return True

    def pass_events(
        self,
        exchange: CallExchange,
        box: BoxRecord,
        answer: urllib3.BaseHTTPResponse,
    ) -> Iterator[bytes]:
        """Yield another box's events as they are; return whether they are whole.

        Only whole events are passed on, so that a stream that breaks off can go on
        from another box at the offset of the last one.
        """
        buffer = b""
        tail = b""
        try:
            while chunk := self.read_chunk(exchange, box, answer):
                buffer += chunk
                complete, separator, rest = buffer.rpartition(b"\n\n")
                if not separator:
                    continue
                buffer = rest
                data = complete + separator
                exchange.note_offset(data)
                tail = (tail + data)[-TAIL_BYTES:]
                yield data
        except (urllib3.exceptions.HTTPError, OSError, RerouteError) as error:
            log.info("Stream of %s broke off: %s.", exchange.program, error)
        except BaseException:
            answer.close()
            raise
        is_whole = tail.endswith(DONE_EVENT)
        if is_whole:
            answer.release_conn()
        else:
            answer.close()
        return is_whole

    def read_chunk(
        self,
        exchange: CallExchange,
        box: BoxRecord,
        answer: urllib3.BaseHTTPResponse,
    ) -> bytes:
        """Return what another box has sent, or wait until it does."""
        with self.forwarder.watch.waiting(exchange.partition, box.identity):
            return answer.read1(65_536)
