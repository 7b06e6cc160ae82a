"""Callers that wait for an interim response before they send a body."""

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
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODY = b"body"
WAITING = build_request(b"/echo", b"c2", BODY, headers=b"Expect: 100-continue\r\n")
HEAD = WAITING.removesuffix(BODY)
# More than the buffers of both sockets hold.
LONG_BODY = b"x" * 8_000_000


class GreenCaller(RawCaller):
    """A caller in the process of the server, which reads in small steps."""

    def __init__(self, address):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect(address)
        self.rest = b""


class Handler:
    """Answers by the path."""

    def __init__(self):
        self.finish = Event()

    def handle(self, request, writer):
        if request.target == b"/stream":
            writer.start_stream(200, Headers())
            self.finish.wait()
            writer.end_stream(b"end")
        elif request.target == b"/long":
            writer.write_whole(200, Headers(), LONG_BODY)
        else:
            writer.write_whole(200, Headers(), request.body)


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(handler):
    with contextlib.closing(eventlet.listen(("127.0.0.1", 0))) as listener:
        limits = InputLimits()
        server = CallerServer(listener, handler.handle, lambda: limits, Metrics())
        accepting = eventlet.spawn(server.serve_forever)
        with eventlet.Timeout(HANG_SECONDS):
            yield server
        accepting.kill()


@pytest.fixture
def caller(server):
    with GreenCaller(server.listener.getsockname()) as caller:
        yield caller


def send_head(server, caller):
    """Have the server read the head of a request whose body is still to come."""
    caller.send(HEAD)
    (connection,) = server.connections
    while not connection.reader.in_body:
        eventlet.sleep(0.001)


def read_echo(caller):
    """Send the body once it is asked for; return the answer's."""
    assert caller.read_until(b"\r\n\r\n") == CONTINUE
    caller.send(BODY)
    return caller.read_answer()[2]


def test_a_caller_that_waits_is_told_to_send_its_body(caller):
    caller.send(HEAD)
    assert read_echo(caller) == BODY


def test_a_caller_is_not_told_to_go_on_within_the_stream_before(
    server, caller, handler
):
    caller.send(build_request(b"/stream", b"c1"))
    caller.read_until(b"\r\n\r\n")
    send_head(server, caller)
    handler.finish.send(None)
    assert caller.read_chunks() == b"end"
    assert read_echo(caller) == BODY


def test_a_long_response_is_not_cut_by_a_caller_that_waits_behind_it(server, caller):
    caller.send(build_request(b"/long", b"c1"))
    caller.read_until(b"\r\n\r\n")
    send_head(server, caller)
    assert caller.read_exact(len(LONG_BODY)) == LONG_BODY
    assert read_echo(caller) == BODY


def test_a_caller_that_sends_its_body_unasked_is_not_told_to(server, caller, handler):
    caller.send(build_request(b"/stream", b"c1"))
    caller.read_until(b"\r\n\r\n")
    send_head(server, caller)
    caller.send(BODY)
    (connection,) = server.connections
    while connection.reader.in_message:
        eventlet.sleep(0.001)
    handler.finish.send(None)
    assert caller.read_chunks() == b"end"
    assert caller.read_answer()[2] == BODY
