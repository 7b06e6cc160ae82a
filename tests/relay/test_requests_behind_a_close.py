"""Requests that a caller sends behind the last one of its connection."""

from __future__ import annotations

import contextlib

import eventlet
import pytest
from eventlet.event import Event
from eventlet.green import socket

from cedarchute.metrics import Metrics
from cedarchute.relay.caller_server import CallerServer
from cedarchute.relay.headers import Headers
from cedarchute.relay.input_limits import InputLimits
from experiments.raw_caller import RawCaller, build_request

# Long enough for any machine; reached only if an answer never comes.
HANG_SECONDS = 30.0
FIRST = build_request(b"/stream", b"c1")
SECOND = build_request(b"/whole", b"c2", b"body")


class Handler:
    """Answers a stream once it is told to, and everything else at once."""

    def __init__(self):
        self.finish = Event()
        self.streaming = Event()
        self.before_whole = lambda: None

    def handle(self, request, writer):
        if writer.follows_close:
            writer.write_refusal(503, "not run")
        elif request.target == b"/stream":
            writer.start_stream(200, Headers())
            self.streaming.send(None)
            self.finish.wait()
            writer.end_stream(b"end")
        else:
            self.before_whole()
            writer.write_whole(200, Headers(), b"whole")


class GreenCaller(RawCaller):
    """A caller in the process of the server."""

    def __init__(self, address):
        self.sock = socket.create_connection(address)
        self.rest = b""


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(handler):
    with contextlib.closing(eventlet.listen(("127.0.0.1", 0))) as listener:
        limits = InputLimits()
        server = CallerServer(listener, handler.handle, lambda: limits, Metrics())
        accepting = eventlet.spawn(server.serve_forever)
        server.begin_closing()
        with eventlet.Timeout(HANG_SECONDS):
            yield server
        accepting.kill()


@pytest.fixture
def caller(server):
    with GreenCaller(server.listener.getsockname()) as caller:
        yield caller


def wait_until(condition):
    while not condition():
        eventlet.sleep(0.001)


def begin_stream(caller, handler):
    """Have the head of a stream say that the connection closes."""
    caller.send(FIRST)
    handler.streaming.wait()
    assert b"Connection: close" in caller.read_until(b"\r\n\r\n")


def finish_stream(caller, handler):
    handler.finish.send(None)
    assert caller.read_chunks() == b"end"


def test_a_request_behind_a_response_that_closes_is_told_that_it_did_not_run(
    server, caller, handler
):
    begin_stream(caller, handler)
    caller.send(2 * SECOND)
    (connection,) = server.connections
    wait_until(lambda: connection.requests.qsize() == 2)
    finish_stream(caller, handler)
    for _ in range(2):
        status, headers, _ = caller.read_answer()
        assert (status, headers["connection"]) == (503, "close")
    assert caller.read_to_close() == b""


def test_a_request_half_sent_behind_a_response_that_closes_is_answered(
    server, caller, handler
):
    begin_stream(caller, handler)
    caller.send(SECOND[:-1])
    (connection,) = server.connections
    wait_until(lambda: connection.reader.in_body)
    finish_stream(caller, handler)
    caller.send(SECOND[-1:])
    assert caller.read_answer()[0] == 503
    assert caller.read_to_close() == b""


def test_a_request_unread_behind_a_response_that_closes_is_answered(caller, handler):
    begin_stream(caller, handler)
    # Nothing yields between these lines, so the server cannot have read it.
    caller.sock.fd.sendall(SECOND)
    handler.finish.send(None)
    assert caller.read_chunks() == b"end"
    assert caller.read_answer()[0] == 503


def test_bytes_that_are_no_request_behind_a_response_that_closes_hold_nothing_up(
    caller, handler
):
    begin_stream(caller, handler)
    caller.send(b"\r\n")
    finish_stream(caller, handler)
    assert caller.read_to_close() == b""


def test_a_response_does_not_close_a_connection_that_a_request_is_coming_on(
    server, caller, handler
):
    def receive_more():
        (connection,) = server.connections
        wait_until(lambda: connection.reader.in_body)

    handler.before_whole = receive_more
    caller.send(SECOND + SECOND[:-1])
    status, headers, _ = caller.read_answer()
    assert (status, "connection" in headers) == (200, False)
    handler.before_whole = lambda: None
    caller.send(SECOND[-1:])
    status, headers, _ = caller.read_answer()
    assert (status, headers["connection"]) == (200, "close")


def test_a_response_does_not_close_a_connection_with_an_unread_request(caller, handler):
    def send_more():
        handler.before_whole = lambda: None
        caller.sock.fd.sendall(SECOND)

    handler.before_whole = send_more
    caller.send(SECOND)
    status, headers, _ = caller.read_answer()
    assert (status, "connection" in headers) == (200, False)
    status, headers, _ = caller.read_answer()
    assert (status, headers["connection"]) == (200, "close")


def test_a_caller_that_closes_its_connection_itself_is_owed_no_more(caller, handler):
    closing = build_request(b"/whole", b"c1", headers=b"Connection: close\r\n")
    caller.send(closing + SECOND)
    assert caller.read_answer()[0] == 200
    assert caller.read_to_close() == b""
