"""Responses on the connections of callers."""

from __future__ import annotations

import contextlib

import eventlet
import pytest
from eventlet.green import socket
from eventlet.patcher import original

from cedarchute.relay import caller_connection, request_reader
from cedarchute.relay.caller_connection import CallerConnection
from cedarchute.relay.headers import Headers
from cedarchute.relay.input_limits import InputLimits
from experiments.raw_caller import build_request

TIMEOUT_SECONDS = 0.5
# The whole body takes longer than the timeout, each part less.
PART_SECONDS = 0.2
PARTS = 5
# Reached only by a connection that is neither answered nor closed.
HANG_SECONDS = 10.0


class FullSocket:
    """A socket that takes nothing now."""

    def send(self, data):
        raise BlockingIOError


class SlowSocket:
    """A socket whose peer takes one byte at a time, or none."""

    def __init__(self, part_seconds):
        self.part_seconds = part_seconds
        self.taken = b""
        self.fd = FullSocket()

    def send(self, data):
        eventlet.sleep(self.part_seconds)
        self.taken += bytes(data[:1])
        return 1

    def sendall(self, data):
        while data:
            data = data[self.send(data) :]


class Server:
    """What a connection needs of the server of callers."""

    def __init__(self, handle=None, limits=InputLimits):
        self.handle = handle
        self.limits = limits

    def must_close(self):
        return False

    def record_bad_request(self, error):
        pass


class VirtualClock:
    """Time that passes only when a test says so."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now


@contextlib.contextmanager
def connect(handle, limits=InputLimits):
    """Give the caller's end of a connection whose requests `handle` gets."""
    with contextlib.closing(eventlet.listen(("127.0.0.1", 0))) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    served = eventlet.spawn(CallerConnection(accepted, Server(handle, limits)).run)
    with contextlib.closing(caller), eventlet.Timeout(HANG_SECONDS):
        yield caller
    served.wait()


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    monkeypatch.setattr(caller_connection, "WRITE_TIMEOUT_SECONDS", TIMEOUT_SECONDS)


def test_a_caller_that_reads_slowly_gets_its_whole_response():
    sock = SlowSocket(PART_SECONDS)
    CallerConnection(sock, Server()).send(b"x" * PARTS)
    assert sock.taken == b"x" * PARTS


def test_a_caller_that_reads_nothing_counts_as_disconnected():
    sock = SlowSocket(TIMEOUT_SECONDS * 20)
    with pytest.raises(TimeoutError):
        CallerConnection(sock, Server()).send(b"x")


def test_a_caller_that_read_while_the_process_was_held_up_gets_its_response():
    """Timers are looked at before sockets after a pause."""
    body = b"x" * 8_000_000
    received = []

    def read_all(caller):
        while sum(map(len, received)) < len(body):
            received.append(caller.recv(65_536))

    with contextlib.closing(eventlet.listen(("127.0.0.1", 0))) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    near, far = socket.socketpair()

    def stand_still():
        near.recv(1)
        caller.fd.setblocking(True)
        reader = original("threading").Thread(
            target=read_all, args=(caller.fd,), daemon=True
        )
        reader.start()
        original("time").sleep(2 * TIMEOUT_SECONDS)

    eventlet.spawn(stand_still)
    eventlet.sleep(0)
    far.sendall(b"x")
    with eventlet.Timeout(HANG_SECONDS), contextlib.closing(caller):
        CallerConnection(accepted, Server()).send(body)
        accepted.close()
        while sum(map(len, received)) < len(body):
            eventlet.sleep(0.01)


def test_a_handler_that_fails_leaves_no_caller_without_an_answer():
    def fail(request, writer):
        raise ValueError

    with connect(fail) as caller:
        for number in range(2):
            caller.sendall(build_request(b"/x", b"a%d" % number))
            assert caller.recv(65_536).startswith(b"HTTP/1.1 502 ")


def test_a_handler_that_fails_within_a_stream_ends_it_as_incomplete():
    def fail(request, writer):
        writer.start_stream(200, Headers())
        raise ValueError

    received = b""
    with connect(fail) as caller:
        caller.sendall(build_request(b"/x", b"a1"))
        while data := caller.recv(65_536):
            received += data
    assert received.startswith(b"HTTP/1.1 200 ")
    assert not received.endswith(b"0\r\n\r\n")


def test_a_kept_connection_takes_what_a_newer_configuration_allows():
    limits = InputLimits(body_bytes=10)

    def answer(request, writer):
        writer.write_whole(200, Headers(), b"done")

    with connect(answer, lambda: limits) as caller:
        caller.sendall(build_request(b"/x", b"a1"))
        assert caller.recv(65_536).startswith(b"HTTP/1.1 200 ")
        limits = InputLimits(body_bytes=20)
        caller.sendall(build_request(b"/x", b"a2", b"x" * 20))
        assert caller.recv(65_536).startswith(b"HTTP/1.1 200 ")


def test_a_request_has_its_own_time_for_its_head(monkeypatch):
    """Also when a part of it came together with the end of the one before."""
    clock = VirtualClock()
    monkeypatch.setattr(caller_connection, "time", clock)
    monkeypatch.setattr(request_reader, "time", clock)
    limits = InputLimits(header_seconds=2 * HANG_SECONDS)

    def answer(request, writer):
        writer.write_whole(200, Headers(), b"done")

    request = build_request(b"/x", b"a1")
    with connect(answer, lambda: limits) as caller:
        caller.sendall(request[:20])
        for _ in range(5):
            clock.now += 0.75 * limits.header_seconds
            caller.sendall(request[20:] + request[:20])
            assert caller.recv(65_536).startswith(b"HTTP/1.1 200 ")
            eventlet.sleep(0.01)  # Lets a deadline that is over take effect.


def test_the_answer_to_head_on_a_stream_has_no_body():
    def stream(request, writer):
        writer.start_stream(200, Headers())
        writer.write_part(b"one")
        writer.end_stream(b"two")

    received = b""
    with connect(stream) as caller:
        caller.sendall(build_request(b"/x", b"a1", method=b"HEAD"))
        closing = b"Connection: close\r\n"
        caller.sendall(build_request(b"/x", b"a2", headers=closing))
        while data := caller.recv(65_536):
            received += data
    first, second, _ = received.split(b"\r\n\r\n", 2)
    assert (first[:15], second[:15]) == (b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK")
    assert received.count(b"one") == 1
