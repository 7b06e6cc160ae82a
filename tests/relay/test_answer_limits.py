"""Limits on what targets send."""

from __future__ import annotations

import time
from contextlib import nullcontext

import eventlet
import pytest

from cedarchute.address import Address
from cedarchute.relay.answer_limits import AnswerLimits
from cedarchute.relay.answer_reader import (
    MAX_HEADERS,
    MAX_INTERIM_ANSWERS,
    AnswerReader,
)
from cedarchute.relay.answer_too_long import AnswerPart, AnswerTooLongError
from cedarchute.relay.event_splitter import EventSplitter
from cedarchute.relay.target_connection import MAX_OVERDUE_BYTES, TargetConnection
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict

LIMITS = AnswerLimits(head_bytes=1000, event_bytes=1000, held_bytes=1000)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4\r\nword\r\n"


def feed_forever(start, block):
    reader = AnswerReader(LIMITS)
    reader.feed(start)
    for _ in range(2000):
        reader.feed(block)
    return reader


@pytest.mark.parametrize(
    ("start", "block"),
    [
        (b"HTTP/1.1 200 ", b"x"),
        (b"HTTP/1.1 200 OK\r\nA: ", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        (HEAD + CHUNK + b"0\r\n", b"A: b\r\n"),
        (HEAD + b"4;", b"x"),
    ],
)
def test_a_head_without_end_is_too_long(start, block):
    with pytest.raises(AnswerTooLongError) as caught:
        feed_forever(start, block)
    assert caught.value.part is AnswerPart.HEAD
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_a_long_body_in_small_chunks_is_proper():
    reader = feed_forever(HEAD, CHUNK)
    assert len(reader.answers[0].take_parts()) == 2000 * 4


def test_many_answers_on_one_connection_are_proper():
    feed_forever(b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def test_an_event_without_end_is_too_long():
    splitter = EventSplitter(1000)
    splitter.feed(b"data: ")
    with pytest.raises(AnswerTooLongError) as caught:
        for _ in range(2000):
            splitter.feed(b"x")
    assert caught.value.part is AnswerPart.EVENT


def test_events_are_split_wherever_they_are_cut():
    stream = b"data: a\n\ndata: b\r\n\r\ndata: c\r\rdata: d\n\n"
    whole = EventSplitter().feed(stream)
    assert whole == [b"data: a\n\n", b"data: b\r\n\r\n", b"data: c\r\r", b"data: d\n\n"]
    splitter = EventSplitter()
    assert [
        e for n in range(len(stream)) for e in splitter.feed(stream[n : n + 1])
    ] == (whole)


@pytest.fixture
def flood():
    """Return a connection to a target that sends without end."""
    listener = eventlet.listen(("127.0.0.1", 0))

    def send_forever():
        sock, _ = listener.accept()
        sock.sendall(HEAD)
        try:
            while True:
                sock.sendall(CHUNK * 1000)
        except OSError:
            return

    task = eventlet.spawn(send_forever)
    address = Address("127.0.0.1", listener.getsockname()[1])
    sock = eventlet.connect((address.host, address.port))
    connection = TargetConnection(address, sock, LIMITS)
    yield connection
    connection.close()
    task.kill()


def test_what_is_dropped_has_a_limit_and_is_not_kept(flood):
    answer = flood.wait_for_headers(time.monotonic() + 10)
    with pytest.raises(AnswerTooLongError) as caught:
        flood.drop_rest(answer, time.monotonic() + 10)
    assert caught.value.part is AnswerPart.DROPPED
    assert not answer.parts


def test_a_target_that_never_stops_sending_gives_up_the_loop(flood):
    answer = flood.wait_for_headers(time.monotonic() + 10)
    turns = []

    def take_turns():
        while True:
            turns.append(None)
            eventlet.sleep(0)

    task = eventlet.spawn(take_turns)
    for _ in range(200):
        flood.receive(10)
        answer.take_parts()
    task.kill()
    assert turns


def test_a_target_that_sends_past_its_deadline_is_given_up(flood):
    answer = flood.wait_for_headers(time.monotonic() + 10)
    with pytest.raises(TargetFailureError, match="after its time"):
        for _ in range(MAX_OVERDUE_BYTES):
            flood.receive(-1)
            answer.take_parts()


@pytest.mark.parametrize(("count", "is_proper"), [(MAX_HEADERS, True), (1000, False)])
def test_headers_beyond_a_number_are_too_many_and_not_kept(count, is_proper):
    reader = AnswerReader()
    data = b"HTTP/1.1 200 OK\r\n" + b"X-More: 1\r\n" * count
    with nullcontext() if is_proper else pytest.raises(AnswerTooLongError):
        reader.feed(data)
        reader.feed(b"\r\n")
    assert len(reader.answers[0].fields) == min(count, MAX_HEADERS)


@pytest.mark.parametrize(
    ("count", "is_proper"), [(MAX_INTERIM_ANSWERS, True), (1000, False)]
)
def test_interim_answers_beyond_a_number_are_too_many_and_not_kept(count, is_proper):
    reader = AnswerReader()
    data = b"HTTP/1.1 103 Early Hints\r\n\r\n" * count
    with nullcontext() if is_proper else pytest.raises(AnswerTooLongError):
        reader.feed(data)
    assert not reader.answers
