"""Connections whose last response may not have been read yet."""

from __future__ import annotations

import contextlib
from types import SimpleNamespace

import eventlet
import pytest
from eventlet.green import socket

from cedarchute.calls.shutdown_deadline import ShutdownDeadline
from cedarchute.daemon.entry_stop import EntryStop
from cedarchute.metrics import Metrics
from cedarchute.relay import caller_connection
from cedarchute.relay.caller_server import CallerServer
from cedarchute.relay.headers import Headers
from cedarchute.relay.input_limits import InputLimits
from experiments.raw_caller import build_request

# Long enough for any machine; reached only if something hangs.
HANG_SECONDS = 30.0
ENDLESS_SECONDS = 3600.0
REQUEST = build_request(b"/x", b"c1")


@pytest.fixture(autouse=True)
def endless_linger(monkeypatch):
    monkeypatch.setattr(caller_connection, "LINGER_SECONDS", ENDLESS_SECONDS)


@pytest.fixture
def server():
    def answer(request, writer):
        writer.write_whole(200, Headers(), b"done")

    with contextlib.closing(eventlet.listen(("127.0.0.1", 0))) as listener:
        limits = InputLimits()
        server = CallerServer(listener, answer, lambda: limits, Metrics())
        server.begin_closing()
        accepting = eventlet.spawn(server.serve_forever)
        with eventlet.Timeout(HANG_SECONDS):
            yield server
        accepting.kill()


@pytest.fixture
def caller(server):
    """A caller that has sent the last request of its connection."""
    address = server.listener.getsockname()
    with contextlib.closing(socket.create_connection(address)) as caller:
        caller.sendall(REQUEST)
        yield caller


def read_response(caller):
    """Read to the close, which comes with the last response."""
    received = b""
    while data := caller.recv(65_536):
        received += data
    return received


@pytest.mark.parametrize("request_bytes", [REQUEST, b"no request\r\n\r\n"])
def test_a_stop_does_not_cut_the_time_to_read_the_last_response(server, request_bytes):
    caller = socket.create_connection(server.listener.getsockname())
    caller.sendall(request_bytes)
    assert read_response(caller).startswith(b"HTTP/1.1 ")
    server.close_idle()
    assert server.is_busy
    caller.close()
    while server.is_busy:
        eventlet.sleep(0.001)


def test_a_connection_whose_caller_has_left_does_not_hold_a_stop_up(server, caller):
    read_response(caller)
    caller.close()
    while server.connections:
        eventlet.sleep(0.001)
    assert not server.is_busy
    assert server.interrupt_requests(include_started=True) == 0


def test_a_caller_that_never_closes_holds_a_stop_up_for_no_more_than_its_grace(
    server, caller
):
    read_response(caller)
    registration = SimpleNamespace(leave=lambda: None, end=lambda: None)
    stop = EntryStop(server, registration, ShutdownDeadline(), 0.5)
    stop.ask()
    stop.wait()
    assert server.is_busy


def test_a_request_that_was_refused_as_half_received_does_not_count_as_cut(server):
    caller = socket.create_connection(server.listener.getsockname())
    caller.sendall(REQUEST[:-1])
    while not any(c.reader.in_message for c in server.connections):
        eventlet.sleep(0.001)
    assert server.interrupt_requests() == 1
    assert read_response(caller).startswith(b"HTTP/1.1 503 ")
    assert server.is_busy
    assert server.interrupt_requests(include_started=True) == 0
    caller.close()
