"""Connections of callers around a planned stop."""

from __future__ import annotations

import time
from socket import SO_RCVBUF, SOL_SOCKET

import eventlet
import pytest
from eventlet.event import Event
from eventlet.greenio import GreenSocket
from eventlet.patcher import original

from cedarchute.metrics import Metrics
from cedarchute.relay import caller_connection
from cedarchute.relay.caller_server import CallerServer
from cedarchute.relay.headers import Headers
from cedarchute.relay.input_limits import InputLimits
from cedarchute.relay.shutdown_error import ShutdownError
from experiments.raw_caller import build_request

# Long enough for any machine; reached only if an answer never comes.
HANG_SECONDS = 30.0
ENDLESS_SECONDS = 3600.0
REQUEST = build_request(b"/once/x", b"c1", b"a")


class Caller:
    """A connection from the test to a server in the same process."""

    def __init__(self, address, receive_buffer=None):
        sock = original("socket").socket()
        if receive_buffer is not None:
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, receive_buffer)
        # Blocks until the kernel has connected it; the server does not run meanwhile.
        sock.connect(address)
        self.sock = GreenSocket(sock)

    def send(self, data=REQUEST):
        self.sock.sendall(data)

    def read_until(self, mark):
        data = b""
        while mark not in data:
            data += self.sock.recv(65536)
        return data

    def read_to_close(self):
        parts = []
        while part := self.sock.recv(65536):
            parts.append(part)
        return b"".join(parts)


@pytest.fixture
def serve():
    """Return a function that starts a server and returns it."""
    started = []

    def start(handle=answer, limits=None):
        listener = eventlet.listen(("127.0.0.1", 0))
        limits = limits or InputLimits()
        server = CallerServer(listener, handle, lambda: limits, Metrics())
        server.address = listener.getsockname()
        started.append((server, eventlet.spawn(server.serve_forever)))
        return server

    with eventlet.Timeout(HANG_SECONDS):
        yield start
    for server, accepting in started:
        accepting.kill()
        server.listener.close()


def answer(request, writer):
    writer.write_whole(200, Headers(), b"done")


def connect(server, count=1):
    """Connect `count` callers; return them once the server has taken them all."""
    before = len(server.connections)
    callers = [Caller(server.address) for _ in range(count)]
    while len(server.connections) < before + count:
        eventlet.sleep(0.001)
    return callers if count > 1 else callers[0]


def test_a_connection_just_taken_is_not_closed_as_idle(serve, monkeypatch):
    monkeypatch.setattr(
        caller_connection, "FIRST_REQUEST_SECONDS", ENDLESS_SECONDS, raising=False
    )
    server = serve()
    caller = connect(server)
    server.begin_closing()
    server.close_idle()
    assert server.is_busy
    caller.send()
    assert caller.read_to_close().startswith(b"HTTP/1.1 200 ")


def test_a_connection_that_never_sends_a_request_does_not_hold_a_stop(
    serve, monkeypatch
):
    monkeypatch.setattr(caller_connection, "FIRST_REQUEST_SECONDS", 0.0, raising=False)
    server = serve()
    caller = connect(server)
    server.begin_closing()
    server.close_idle()
    assert not server.is_busy
    assert caller.read_to_close() == b""


def test_a_request_that_lies_unread_is_not_closed_with_its_connection(serve):
    server = serve()
    caller = connect(server)
    caller.send()
    assert caller.sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    server.begin_closing()
    # Nothing yields between these lines, so the server cannot have read it.
    caller.send()
    server.close_idle()
    assert server.is_busy
    assert caller.read_to_close().startswith(b"HTTP/1.1 200 ")
    assert server.metrics.totals["connections.closed.unread"] == 0


def test_connections_in_the_queue_of_a_closing_listener_are_not_reset(serve):
    server = serve()
    eventlet.sleep(0)
    server.begin_closing()
    # Nothing yields between these lines: the kernel completes the handshakes, and the
    # server has accepted none of them.
    callers = [Caller(server.address) for _ in range(5)]
    for caller in callers:
        caller.send()
    server.stop_accepting()
    assert server.is_busy
    for caller in callers:
        assert caller.read_to_close().startswith(b"HTTP/1.1 200 ")


def test_a_request_in_progress_at_the_end_of_a_stop_is_answered(serve):
    def wait(request, writer):
        try:
            Event().wait()
        except ShutdownError:
            writer.write_refusal(504, "box is stopping")

    server = serve(wait)
    caller = connect(server)
    caller.send()
    while not any(connection.busy for connection in server.connections):
        eventlet.sleep(0.001)
    server.begin_closing()
    assert server.interrupt_requests() == 1
    received = caller.read_to_close()
    assert received.startswith(b"HTTP/1.1 504 ")
    assert b"Connection: close" in received


def test_a_response_that_has_begun_is_not_interrupted_before_the_very_end(serve):
    finish = Event()

    def stream(request, writer):
        writer.start_stream(200, Headers())
        finish.wait()
        writer.end_stream(b"last")

    server = serve(stream)
    caller = connect(server)
    caller.send()
    assert caller.sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    server.begin_closing()
    assert server.interrupt_requests() == 0
    finish.send(None)
    assert caller.read_until(b"0\r\n\r\n").endswith(b"last\r\n0\r\n\r\n")


def test_a_request_that_is_half_received_at_the_end_of_a_stop_is_refused(serve):
    server = serve()
    caller = connect(server)
    caller.send(REQUEST[:-1])
    while not any(c.reader.in_message for c in server.connections):
        eventlet.sleep(0.001)
    assert server.interrupt_requests() == 1
    assert b" 503 " in caller.read_until(b"\r\n")


def test_input_after_the_last_request_does_not_discard_its_response(serve, monkeypatch):
    monkeypatch.setattr(caller_connection, "LINGER_SECONDS", HANG_SECONDS)
    body = b"x" * 1_000_000

    def respond(request, writer):
        writer.write_whole(200, Headers(), body)

    server = serve(respond)
    # Most of the response has to stay in the server's send buffer.
    caller = Caller(server.address, receive_buffer=4096)
    while not server.connections:
        eventlet.sleep(0.001)
    (connection,) = server.connections
    server.begin_closing()
    caller.send()
    received = b""
    while not connection.is_shut_down:
        received += caller.sock.recv(4096)
    assert len(received) < len(body)
    caller.send(b"more")
    received += caller.read_to_close()
    assert received.count(b"x") == len(body)


def test_a_caller_that_never_closes_is_closed_soon_after_its_last_response(serve):
    server = serve()
    server.begin_closing()
    caller = connect(server)
    caller.send()
    received = caller.read_to_close()
    while server.connections:
        eventlet.sleep(0.01)
    assert received.startswith(b"HTTP/1.1 200 ")
    # Sent after the close of both directions; the second write finds that out.
    with pytest.raises(OSError):
        for _ in range(2):
            caller.send()
            eventlet.sleep(0.01)


IDLE_SECONDS = 0.8


def hold_up(server, arrive):
    """Let the process stand still where it has just read input; see `arrive` then.

    Timers are looked at before sockets after that, as after any pause.
    """
    limits = server.limits()

    def stand_still():
        server.limits = lambda: limits
        arrive()
        original("time").sleep(1.5 * IDLE_SECONDS)
        return limits

    other = connect(server)
    eventlet.sleep(0.01)
    server.limits = stand_still
    other.send(REQUEST[:20])


def test_a_request_that_came_while_the_process_was_held_up_is_answered(serve):
    server = serve(limits=InputLimits(idle_seconds=IDLE_SECONDS))
    caller = connect(server)
    hold_up(server, lambda: caller.sock.fd.sendall(REQUEST))
    assert caller.sock.recv(65536).startswith(b"HTTP/1.1 200 ")


def test_a_request_whose_end_came_while_the_process_was_held_up_is_answered(serve):
    server = serve(limits=InputLimits(header_seconds=IDLE_SECONDS))
    caller = connect(server)
    caller.send(REQUEST[:20])
    while not any(c.reader.in_message for c in server.connections):
        eventlet.sleep(0.001)
    hold_up(server, lambda: caller.sock.fd.sendall(REQUEST[20:]))
    assert caller.sock.recv(65536).startswith(b"HTTP/1.1 200 ")


def test_a_connection_is_idle_from_its_last_response_on(serve):
    answered_at = []

    def wait(request, writer):
        eventlet.sleep(0.75 * IDLE_SECONDS)
        answered_at.append(time.monotonic())
        writer.write_whole(200, Headers(), b"done")

    server = serve(wait, InputLimits(idle_seconds=IDLE_SECONDS))
    caller = connect(server)
    caller.send()
    assert caller.read_to_close().endswith(b"done")
    assert time.monotonic() - answered_at[0] >= IDLE_SECONDS


def test_a_longer_idle_timeout_applies_to_open_connections(serve):
    server = serve(limits=InputLimits(idle_seconds=IDLE_SECONDS))
    caller = connect(server)
    eventlet.sleep(0)
    server.limits = lambda: InputLimits(idle_seconds=2 * IDLE_SECONDS)
    changed_at = time.monotonic()
    assert caller.read_to_close() == b""
    assert time.monotonic() - changed_at >= 1.5 * IDLE_SECONDS


def test_requests_that_were_sent_together_are_all_answered_in_a_stop(serve):
    server = serve()
    caller = connect(server)
    server.begin_closing()
    caller.send(3 * REQUEST)
    received = caller.read_to_close()
    assert received.count(b"HTTP/1.1 200 ") == 3
    assert received.count(b"Connection: close") == 1


def test_a_fault_of_a_handler_does_not_leave_its_caller_waiting(serve):
    faults = [RuntimeError("fault")]

    def fail_once(request, writer):
        if faults:
            raise faults.pop()
        answer(request, writer)

    server = serve(fail_once)
    caller = connect(server)
    caller.send()
    caller.send()
    received = caller.read_until(b"done")
    assert [line for line in received.split(b"\r\n") if b"HTTP/1.1" in line] == [
        b"HTTP/1.1 502 Bad Gateway",
        b"fault of this box\nHTTP/1.1 200 OK",
    ]
