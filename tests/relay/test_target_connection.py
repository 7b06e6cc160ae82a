"""Connections to targets whose bytes come while the process stands still."""

from __future__ import annotations

import contextlib
import time
from errno import ETIMEDOUT

import eventlet
import pytest
from eventlet.green import socket
from eventlet.patcher import original

from cedarchute.address import Address
from cedarchute.relay.socket_io import receive_within
from cedarchute.relay.target_connection import TargetConnection
from cedarchute.relay.target_failure import TargetFailureError
from experiments.raw_caller import build_request
from standins.raw_target import RawTarget, answer

# Long enough for any machine; reached only if an answer never comes.
HANG_SECONDS = 30.0
WAIT_SECONDS = 1.0


class HeldUpProcess:
    """A process that stands still from its next input on, until a deadline is over.

    Timers are looked at before sockets after that, as after any pause.

    Attributes
    ----------
    begun : threading.Event
        Set once it stands still.
    """

    def __init__(self):
        self.begun = original("threading").Event()

    def stand_still(self, near, connection, deadline, awaits_input):
        near.recv(1)
        self.begun.set()
        if awaits_input:
            original("select").select([connection.sock.fileno()], [], [])
        original("time").sleep(max(0.0, deadline - time.monotonic()))

    def read_answer(self, connection, awaits_input=True):
        """Return the answer to a request; the process stands still meanwhile."""
        connection.send(build_request(b"/x", b"a1"), HANG_SECONDS)
        deadline = time.monotonic() + WAIT_SECONDS
        near, far = socket.socketpair()
        eventlet.spawn(self.stand_still, near, connection, deadline, awaits_input)
        eventlet.sleep(0)
        far.sendall(b"x")
        return connection.read_answer(b"a1", b"attempt-id", deadline)


@pytest.fixture
def process():
    return HeldUpProcess()


@contextlib.contextmanager
def connect(script):
    """Give a connection to a target that answers by `script`."""
    target = RawTarget(script)
    address = Address.parse(target.address)
    sock = socket.create_connection((address.host, address.port))
    connection = TargetConnection(address, sock)
    with (
        contextlib.closing(target),
        contextlib.closing(connection),
        eventlet.Timeout(HANG_SECONDS),
    ):
        yield connection


def test_an_answer_that_came_while_the_process_was_held_up_is_read(process):
    def script(request, sock):
        process.begun.wait()
        sock.sendall(answer(request))

    with connect(script) as connection:
        assert process.read_answer(connection).status == 200


def test_a_close_that_came_while_the_process_was_held_up_is_no_silence(process):
    def script(request, sock):
        process.begun.wait()
        sock.close()

    with connect(script) as connection, pytest.raises(TargetFailureError) as caught:
        process.read_answer(connection)
    assert caught.value.reason == "closed early"


def test_a_target_that_is_silent_while_the_process_is_held_up_is_silent(process):
    def script(request, sock):
        request.closed.wait()

    with connect(script) as connection, pytest.raises(TargetFailureError) as caught:
        process.read_answer(connection, awaits_input=False)
    assert caught.value.reason == "silent"


class LostSocket:
    """A socket whose connection TCP gave up: it says so once, then is at its end."""

    def __init__(self):
        self.errors = [TimeoutError(ETIMEDOUT, "timed out")]
        self.fd = self

    def recv(self, count):
        if self.errors:
            raise self.errors.pop()
        return b""


def test_a_connection_that_tcp_gave_up_does_not_seem_to_be_closed_in_order():
    with pytest.raises(TimeoutError, match="timed out"):
        receive_within(LostSocket(), HANG_SECONDS, "silent")


ANONYMOUS = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def test_bytes_behind_a_whole_answer_are_not_taken_for_the_next_one():
    def script(request, sock):
        if request.header("Attempt-Id") == "a2":
            sock.sendall(ANONYMOUS)
        sock.sendall(answer(request))

    with connect(script) as connection:
        for call_id in (b"a1", b"a2"):
            connection.send(build_request(b"/x", call_id), HANG_SECONDS)
            deadline = time.monotonic() + HANG_SECONDS
            read = connection.read_answer(call_id, b"attempt-id", deadline)
            assert read.headers.get(b"attempt-id") == call_id
            connection.drop_rest(read, deadline)
            connection.finish(read)
        assert not connection.is_available


def test_a_refusal_without_an_id_is_the_answer():
    def script(request, sock):
        sock.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

    with connect(script) as connection:
        connection.send(build_request(b"/x", b"a1"), HANG_SECONDS)
        deadline = time.monotonic() + HANG_SECONDS
        assert connection.read_answer(b"a1", b"attempt-id", deadline).status == 503
