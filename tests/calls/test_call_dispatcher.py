"""Final responses of calls that fail inside the box."""

from __future__ import annotations

import contextlib

import eventlet
import pytest
from eventlet.green import socket

from cedarchute.calls.call_dispatcher import CallDispatcher
from cedarchute.calls.shutdown_deadline import ShutdownDeadline
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_connection import CallerConnection
from cedarchute.relay.input_limits import InputLimits
from experiments.raw_caller import build_request

# Reached only by a connection that is neither answered nor closed.
HANG_SECONDS = 10.0


class FailingRoutes:
    """Routes that no call gets past."""

    version = 1

    def __init__(self, error):
        self.error = error

    def wait(self, seconds):
        raise self.error


class Server:
    """What a connection needs of the server of callers."""

    def __init__(self, handle):
        self.handle = handle

    def limits(self):
        return InputLimits()

    def must_close(self):
        return False


@contextlib.contextmanager
def connect(dispatcher):
    """Give the caller's end of a connection that `dispatcher` serves."""
    with contextlib.closing(eventlet.listen(("127.0.0.1", 0))) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    connection = CallerConnection(accepted, Server(dispatcher.handle))
    served = eventlet.spawn(connection.run)
    with contextlib.closing(caller), eventlet.Timeout(HANG_SECONDS):
        yield caller
    served.wait()


@pytest.mark.parametrize(
    "error",
    [TimeoutError("timed out"), OSError(24, "Too many open files"), MemoryError()],
)
def test_an_error_of_another_socket_ends_a_call_with_a_status(error):
    routes = FailingRoutes(error)
    metrics = Metrics()
    dispatcher = CallDispatcher(
        routes, None, None, None, None, ShutdownDeadline(), metrics
    )
    with connect(dispatcher) as caller:
        caller.sendall(build_request(b"/once/x", b"a1"))
        assert caller.recv(65_536).startswith(b"HTTP/1.1 502 ")
        caller.sendall(build_request(b"/once/x", b"a2"))
        assert caller.recv(65_536).startswith(b"HTTP/1.1 502 ")
    assert metrics.totals["calls.caller_left"] == 0
