"""An interrupted stream resumes at the next owner or ends with a problem."""

from __future__ import annotations

import contextlib
import json
from types import SimpleNamespace

import pytest
import urllib3
from fakes import StillClock

from cedarchute.border.answers import DONE_EVENT, make_delta_event
from cedarchute.border.call_exchange import CallExchange
from cedarchute.border.forwarder import Forwarder
from cedarchute.border.home_follower import HomeFollower
from cedarchute.border.home_locator import OwnerLocation
from cedarchute.border.reroute_error import RerouteError
from cedarchute.border.stream_relay import StreamRelay
from cedarchute.metrics import Metrics
from cedarchute.problem import PROBLEM_TYPE, Problem
from cedarchute.verdict import Verdict

PROGRAM = "p-box-1.1-1-1"
OWNER = SimpleNamespace(identity="box-2.1")
END_EVENT = b'data: {"choices": [{"finish_reason": "stop"}], "usage": {}}\n\n'


class Answer:
    """Another box's response, which fails when its chunks are used up."""

    def __init__(self, chunks, content_type="text/event-stream"):
        self.chunks = list(chunks)
        self.headers = {"Content-Type": content_type}

    def read1(self, _):
        if not self.chunks:
            raise urllib3.exceptions.ProtocolError("broken off")
        return self.chunks.pop(0)

    def read(self):
        return b"".join(self.chunks)

    def release_conn(self):
        self.chunks = [b""]

    def close(self):
        pass


class ScriptedForwarder(Forwarder):
    """Returns the given responses, one per request."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.positions = []
        self.watch = SimpleNamespace(waiting=lambda *_: contextlib.nullcontext())

    def open(self, request):
        self.positions.append(request.headers["Last-Event-ID"])
        if not self.answers:
            raise RerouteError("no response", was_sent=False)
        return self.answers.pop(0)


class TickingClock(StillClock):
    """Advances by one second on each read."""

    def monotonic(self):
        self.now += 1.0
        return self.now


def make_refusal(code, retry_after):
    problem = Problem(
        code, "No.", status=503, verdict=Verdict.MAY_HAVE_RUN, retry_after=retry_after
    )
    return Answer([json.dumps(problem.document).encode()], PROBLEM_TYPE)


def read_stream(*answers):
    """Return the forwarder and the stream that a caller receives."""
    forwarder = ScriptedForwarder(*answers[1:])
    locator = SimpleNamespace(
        owner_wait_seconds=5.0,
        locate=lambda _: OwnerLocation(box=OWNER),
        is_unknown=lambda _: False,
    )
    clock = TickingClock()
    follower = HomeFollower(locator, clock, Metrics())
    relay = StreamRelay(None, follower, forwarder, 0.0, clock, Metrics())
    exchange = CallExchange(
        program=PROGRAM,
        key="key",
        request=None,
        body=None,
        seconds=60.0,
        is_stream=True,
        is_forwarded=False,
        request_id="",
    )
    events = relay.read(exchange, relay.read_remote(exchange, OWNER, answers[0]))
    return forwarder, b"".join(events)


def test_a_refusal_of_the_next_home_ends_a_stream():
    """No text may follow the problem that the next owner returns."""
    piece = make_delta_event(0, 5, "Hello")
    rest = Answer([make_delta_event(0, 10, " you."), END_EVENT + DONE_EVENT])
    refusal = make_refusal("copies_unavailable", 2.0)
    _, got = read_stream(Answer([piece]), refusal, rest)
    assert got.startswith(piece + b"event: problem\n")
    assert got.endswith(DONE_EVENT)
    assert got.count(b"\n\n") == 3


@pytest.mark.parametrize("text", ["paid: 3", "the id: 7", "id: 0.2", "\nid: 0.2\n"])
def test_the_rest_begins_where_the_caller_has_the_text(text):
    """Text that contains ``id: `` must not be taken for the position of an event.

    Otherwise the next owner repeats text that the caller already has.
    """
    piece = make_delta_event(0, len(text), text)
    rest = Answer([END_EVENT + DONE_EVENT])
    forwarder, got = read_stream(Answer([piece]), rest)
    assert forwarder.positions == [f"0.{len(text)}"]
    assert got == piece + END_EVENT + DONE_EVENT


def test_the_end_of_a_stream_comes_once_and_whole():
    """The owner is lost between the final event of a stream and ``[DONE]``."""
    piece = make_delta_event(0, 5, "Hello")
    rest = Answer([END_EVENT + DONE_EVENT])
    _, got = read_stream(Answer([piece, END_EVENT]), rest)
    assert got == piece + END_EVENT + DONE_EVENT


def test_nothing_is_told_of_an_end_that_is_not_whole():
    """As above, but no box takes over: the stream ends with a problem."""
    piece = make_delta_event(0, 5, "Hello")
    _, got = read_stream(Answer([piece, END_EVENT]))
    assert END_EVENT not in got
    assert b"home_lost" in got
    assert got.endswith(DONE_EVENT)


class TruncatedAnswer(Answer):
    """A non-streaming response whose body is cut off."""

    def read(self):
        raise urllib3.exceptions.ProtocolError("broken off")


def test_a_refusal_that_breaks_off_is_asked_for_again():
    """A problem document that is cut off must not abort the caller's stream."""
    piece = make_delta_event(0, 5, "Hello")
    truncated = TruncatedAnswer([], PROBLEM_TYPE)
    rest = Answer([END_EVENT + DONE_EVENT])
    _, got = read_stream(Answer([piece]), truncated, rest)
    assert got == piece + END_EVENT + DONE_EVENT
