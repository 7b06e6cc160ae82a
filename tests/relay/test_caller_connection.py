"""Writing to callers that read slowly."""

from __future__ import annotations

import eventlet
import pytest

from cedarchute.relay import caller_connection
from cedarchute.relay.caller_connection import CallerConnection
from cedarchute.relay.input_limits import InputLimits

TIMEOUT_SECONDS = 0.5
# The whole body takes longer than the timeout, each part less.
PART_SECONDS = 0.2
PARTS = 5


class SlowSocket:
    """A socket whose peer takes one byte at a time, or none."""

    def __init__(self, part_seconds):
        self.part_seconds = part_seconds
        self.taken = b""

    def send(self, data):
        eventlet.sleep(self.part_seconds)
        self.taken += bytes(data[:1])
        return 1

    def sendall(self, data):
        while data:
            data = data[self.send(data) :]


class Server:
    def limits(self):
        return InputLimits()


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
