"""Answers without end of any other process are given up."""

from __future__ import annotations

import contextlib
import queue
import threading
import time

import pytest
import urllib3

from cedarchute.address import Address
from cedarchute.answer_bound import AnswerBound
from cedarchute.host_pools import HostPools
from standins.endless_answers import PLAIN_SHAPES, send_without_end
from standins.raw_target import RawTarget, answer
from standins.watched_script import ScriptEnd, WatchedScript

TIMEOUT_SECONDS = 0.3
GIVEN_UP_SECONDS = 8.0
PART_SECONDS = TIMEOUT_SECONDS / 3
BOUND = AnswerBound(4_000_000)
STREAM_BOUND = AnswerBound(1_000_000, is_stream=True)
HEAD = b"HTTP/1.1 200 OK\r\n"


def send_slowly(connection, data):
    for byte in data:
        connection.sendall(bytes([byte]))
        time.sleep(PART_SECONDS)


def send_slow_body(request, connection):
    connection.sendall(HEAD + b"Content-Length: 1000\r\n\r\n")
    send_slowly(connection, b"x" * 1000)


def send_slow_head(request, connection):
    connection.sendall(HEAD + b"X-Long: ")
    send_slowly(connection, b"x" * 1000)


def send_continue(request, connection):
    send_without_end(connection, b"", b"HTTP/1.1 100 Continue\r\n\r\n")


# What follows a whole answer is never read; of interim answers only 100 is skipped.
SHAPES = {
    **{k: v for k, v in PLAIN_SHAPES.items() if k not in ("after_answer", "interim")},
    "continue": send_continue,
    "slow_body": send_slow_body,
    "slow_head": send_slow_head,
}


def ask(script, bound=BOUND, **options):
    """Send a request to a target with a script; return the response or the error."""
    outcomes = queue.SimpleQueue()

    def request(address):
        pools = HostPools(1, hosts=1, bound=bound)
        try:
            response = pools.request(
                "GET", address, "/x", timeout=TIMEOUT_SECONDS, **options
            )
        except urllib3.exceptions.HTTPError as error:
            outcomes.put(error)
        else:
            outcomes.put(response)

    with contextlib.closing(RawTarget(script)) as target:
        address = Address.parse(target.address)
        threading.Thread(target=request, args=(address,), daemon=True).start()
        return outcomes.get(timeout=GIVEN_UP_SECONDS)


@pytest.mark.parametrize("shape", sorted(SHAPES))
def test_an_answer_without_end_is_given_up(shape):
    script = WatchedScript(SHAPES[shape])
    assert isinstance(ask(script), urllib3.exceptions.HTTPError)
    assert script.wait_end(GIVEN_UP_SECONDS) is ScriptEnd.CLOSED


def test_a_long_answer_comes_whole():
    body = bytes(range(256)) * (BOUND.max_bytes // 300)

    response = ask(lambda request, sock: sock.sendall(answer(request, body)))
    assert response.data == body


@pytest.mark.parametrize("shape", ["headers", "continue", "reason", "slow_head"])
def test_the_head_of_a_stream_without_end_is_given_up(shape):
    outcome = ask(SHAPES[shape], STREAM_BOUND, preload_content=False)
    assert isinstance(outcome, urllib3.exceptions.HTTPError)


def test_a_stream_may_last_for_long():
    parts = b"x" * 20

    def respond(request, sock):
        sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(parts))
        send_slowly(sock, parts)

    response = ask(respond, STREAM_BOUND, preload_content=False)
    assert b"".join(iter(lambda: response.read1(100), b"")) == parts
