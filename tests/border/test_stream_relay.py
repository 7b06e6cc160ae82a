"""A stream goes on from the next home: its caller gets the rest of it or its end."""

from __future__ import annotations

import contextlib
import json
from types import SimpleNamespace

import pytest
import urllib3
from fakes import StillClock

from cedarchute.border.answers import DONE_EVENT, make_piece_event
from cedarchute.border.call_exchange import CallExchange
from cedarchute.border.forwarder import Forwarder
from cedarchute.border.home_follower import HomeFollower
from cedarchute.border.home_locator import HomeLocation
from cedarchute.border.reroute_error import RerouteError
from cedarchute.border.stream_relay import StreamRelay
from cedarchute.metrics import Metrics
from cedarchute.problem import PROBLEM_TYPE, Problem
from cedarchute.verdict import Verdict

PROGRAM = "p-box-1.1-1-1"
HOME = SimpleNamespace(identity="box-2.1")
END_EVENT = b'data: {"choices": [{"finish_reason": "stop"}], "usage": {}}\n\n'


class Answer:
    """Another box's response, which breaks off unless it ends with its mark."""

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
    """Gives the answers that a test has written down, one a request."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.positions = []
        self.watch = SimpleNamespace(waiting=lambda *_: contextlib.nullcontext())

    def open(self, request):
        self.positions.append(request.headers["Last-Event-ID"])
        if not self.answers:
            raise RerouteError("nobody answers", was_sent=False)
        return self.answers.pop(0)


class PassingClock(StillClock):
    """Each look takes a second."""

    def monotonic(self):
        self.now += 1.0
        return self.now


def make_refusal(code, retry_after):
    problem = Problem(
        code, "No.", status=503, verdict=Verdict.MAY_HAVE_RUN, retry_after=retry_after
    )
    return Answer([json.dumps(problem.document).encode()], PROBLEM_TYPE)


def read_stream(*answers):
    """Return the forwarder, and what a caller gets of the first answer and the rest."""
    forwarder = ScriptedForwarder(*answers[1:])
    locator = SimpleNamespace(
        patience=5.0,
        locate=lambda _: HomeLocation(box=HOME),
        is_unknown=lambda _: False,
    )
    clock = PassingClock()
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
    events = relay.read(exchange, relay.read_there(exchange, HOME, answers[0]))
    return forwarder, b"".join(events)


def test_a_refusal_of_the_next_home_ends_a_stream():
    """The home of a program that is read through another box moves on.

    The refusal of the next home came as an event, and the stream went on behind it.
    """
    piece = make_piece_event(0, 5, "Hello")
    rest = Answer([make_piece_event(0, 10, " you."), END_EVENT + DONE_EVENT])
    refusal = make_refusal("copies_unavailable", 2.0)
    _, got = read_stream(Answer([piece]), refusal, rest)
    assert got.startswith(piece + b"event: problem\n")
    assert got.endswith(DONE_EVENT)
    assert got.count(b"\n\n") == 3


@pytest.mark.parametrize("text", ["paid: 3", "the id: 7", "id: 0.2", "\nid: 0.2\n"])
def test_the_rest_begins_where_the_caller_has_the_text(text):
    """A home is lost after text that holds ``id: ``.

    The position was looked for behind the last ``id: `` of the events, found within the
    text, and not noted. The next home then repeated what the caller had already.
    """
    piece = make_piece_event(0, len(text), text)
    rest = Answer([END_EVENT + DONE_EVENT])
    forwarder, got = read_stream(Answer([piece]), rest)
    assert forwarder.positions == [f"0.{len(text)}"]
    assert got == piece + END_EVENT + DONE_EVENT


def test_the_end_of_a_stream_comes_once_and_whole():
    """The home is lost between the end of a stream and the mark of that end."""
    piece = make_piece_event(0, 5, "Hello")
    rest = Answer([END_EVENT + DONE_EVENT])
    _, got = read_stream(Answer([piece, END_EVENT]), rest)
    assert got == piece + END_EVENT + DONE_EVENT


def test_nothing_is_told_of_an_end_that_is_not_whole():
    """As above, and nobody takes the home over: the caller has to ask again."""
    piece = make_piece_event(0, 5, "Hello")
    _, got = read_stream(Answer([piece, END_EVENT]))
    assert END_EVENT not in got
    assert b"home_lost" in got
    assert got.endswith(DONE_EVENT)


class TornAnswer(Answer):
    """A whole answer whose body breaks off."""

    def read(self):
        raise urllib3.exceptions.ProtocolError("broken off")


def test_a_refusal_that_breaks_off_is_asked_for_again():
    """The stream of the caller broke with it: the error was nobody's to take."""
    piece = make_piece_event(0, 5, "Hello")
    torn = TornAnswer([], PROBLEM_TYPE)
    rest = Answer([END_EVENT + DONE_EVENT])
    _, got = read_stream(Answer([piece]), torn, rest)
    assert got == piece + END_EVENT + DONE_EVENT
