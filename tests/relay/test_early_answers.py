"""Targets that answer before they have read a long request."""

from __future__ import annotations

import contextlib
import socket as blocking_socket
import threading
import time

import eventlet
import pytest
from eventlet.green import socket

from cedarchute.address import Address
from cedarchute.relay.target_connection import TargetConnection
from cedarchute.relay.target_failure import TargetFailureError
from experiments.raw_caller import build_request

# Long enough for any machine; reached only if an answer never comes.
HANG_SECONDS = 30.0
# More than the buffers of both sockets hold.
LONG_BODY = b"x" * 8_000_000
REQUEST = build_request(b"/x", b"a1", LONG_BODY)
ANSWER = b"HTTP/1.1 413 Too Large\r\nAttempt-Id: a1\r\nContent-Length: 4\r\n\r\nlong"


class EarlyTarget:
    """Answers once it has read a head; then closes, waits or reads on."""

    def __init__(self, goes_on, answer):
        self.goes_on = goes_on
        self.answer = answer
        self.listener = blocking_socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        self.bytes_read = 0
        self.released = threading.Event()
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        connection, _ = self.listener.accept()
        with contextlib.closing(connection), contextlib.suppress(OSError):
            while b"\r\n\r\n" not in (data := connection.recv(65_536)):
                pass
            self.bytes_read = len(data)
            connection.sendall(self.answer)
            self.goes_on(self, connection)

    def close(self):
        self.released.set()
        self.listener.close()


def close_at_once(target, connection):
    pass


def read_no_more(target, connection):
    target.released.wait()


def read_on(target, connection):
    while target.bytes_read < len(REQUEST):
        target.bytes_read += len(connection.recv(65_536))
    target.released.wait()


@contextlib.contextmanager
def connect(goes_on, answer=ANSWER):
    target = EarlyTarget(goes_on, answer)
    sock = socket.create_connection((target.address.host, target.address.port))
    connection = TargetConnection(target.address, sock)
    with (
        contextlib.closing(target),
        contextlib.closing(connection),
        eventlet.Timeout(HANG_SECONDS),
    ):
        yield connection, target


def read_answer(connection):
    deadline = time.monotonic() + HANG_SECONDS / 2
    answer = connection.read_answer(b"a1", b"attempt-id", deadline)
    while not answer.is_complete:
        connection.receive(deadline - time.monotonic())
    assert (answer.status, answer.take_parts()) == (413, b"long")
    connection.finish(answer)


@pytest.mark.parametrize("goes_on", [close_at_once, read_no_more])
def test_an_answer_to_a_part_of_a_request_is_read(goes_on):
    with connect(goes_on) as (connection, _):
        connection.send(REQUEST, HANG_SECONDS / 2)
        read_answer(connection)
        assert not connection.is_available


def test_a_target_that_reads_on_after_its_answer_gets_the_same_request():
    with connect(read_on) as (connection, target):
        connection.send(REQUEST, HANG_SECONDS / 2)
        while target.bytes_read < len(REQUEST):
            eventlet.sleep(0.01)
        read_answer(connection)
        assert connection.is_available


def test_an_answer_without_a_length_is_not_whole_when_its_request_was_reset():
    endless = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\npart"
    with connect(close_at_once, endless) as (connection, _):
        connection.send(REQUEST, HANG_SECONDS / 2)
        while not connection.send_failed:
            eventlet.sleep(0.001)
        deadline = time.monotonic() + HANG_SECONDS / 2
        with pytest.raises(TargetFailureError):
            answer = connection.read_answer(b"a1", b"attempt-id", deadline)
            while not answer.is_complete:
                connection.receive(deadline - time.monotonic())
