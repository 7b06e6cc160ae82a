"""Both ways in which requests reach holders, against a scripted listener."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import eventlet
import pytest
from eventlet.green import socket as green_socket

from cedarchute.address import Address
from cedarchute.relay import target_connection
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_connections import HolderConnections
from cedarchute.turns.holder_transport import NoAnswerError
from cedarchute.turns.pooled_transport import PooledTransport
from standins.endless_answers import send_chunks, send_trailers
from standins.raw_target import RawTarget
from standins.watched_script import ScriptEnd, WatchedScript

# Reached only if an answer never comes.
HANG_SECONDS = 30.0
PAUSE_SECONDS = 0.6
TIMEOUT = AnswerTimeout(connect_seconds=2.0, read_seconds=1.0)
SHORT_TIMEOUT = AnswerTimeout(connect_seconds=2.0, read_seconds=0.2)
BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
ANSWER = [BYTES]


class Listener:
    """Answers each request with the next script, in real threads."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.requests = []
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self.socket.getsockname())
        self.ended = threading.Event()
        self.accepting = threading.Thread(target=self.accept_forever, daemon=True)
        self.accepting.start()

    def accept_forever(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.socket.accept()
                self.connections += 1
                threading.Thread(target=self.serve, args=[sock], daemon=True).start()

    def serve(self, sock):
        with sock:
            while self.read_request(sock) and self.answer(sock, self.scripts.pop(0)):
                pass

    def read_request(self, sock):
        request = b""
        while not request.endswith(b"{}"):
            data = sock.recv(4096)
            if not data:
                return False
            request += data
        self.requests.append(request)
        return True

    def answer(self, sock, script):
        """Send the parts of a script; return whether the connection stays open."""
        if script is None:
            self.ended.wait(HANG_SECONDS)
            return False
        for part in script:
            sock.sendall(part)
            if len(script) > 1:
                time.sleep(PAUSE_SECONDS)
        return script[-1] != b""

    def close(self):
        self.ended.set()
        # Wakes the thread that accepts; a close alone would leave it listening.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        self.accepting.join()


@pytest.fixture(autouse=True)
def green_connections(monkeypatch):
    """Connect as a box does, whose process is patched."""
    monkeypatch.setattr(target_connection, "socket", green_socket)


@pytest.fixture
def listen():
    made = []

    def start(*scripts):
        made.append(Listener(*scripts))
        return made[-1]

    yield start
    for listener in made:
        listener.close()


both = pytest.mark.parametrize("transport", [HolderConnections, PooledTransport])


def post(transport, listener):
    return transport.post(listener.address, "/turns/begin", b"{}", TIMEOUT)


@both
def test_a_connection_serves_one_request_after_the_other(transport, listen):
    listener = listen(ANSWER, ANSWER)
    used = transport()
    assert [post(used, listener).body for _ in range(2)] == [b"{}", b"{}"]
    assert listener.connections == 1
    assert listener.requests[0].startswith(b"POST /turns/begin HTTP/1.1\r\n")
    assert b"\r\nContent-Length: 2\r\n" in listener.requests[0]


@both
def test_an_answer_may_take_longer_than_the_silence_allowed(transport, listen):
    parts = [BYTES[:10], BYTES[10:30], BYTES[30:]]
    started = time.monotonic()
    assert post(transport(), listen(parts)).status == 200
    assert time.monotonic() - started > TIMEOUT.read_seconds


@both
def test_a_silent_holder_has_given_no_answer(transport, listen):
    with pytest.raises(NoAnswerError):
        post(transport(), listen(None))


@both
@pytest.mark.parametrize("script", [b"", BYTES[:-1], b"none of HTTP\r\n\r\n"])
def test_an_answer_cut_short_or_malformed_is_none(transport, script, listen):
    listener = listen([script, b""])
    with pytest.raises(NoAnswerError):
        post(transport(), listener)


def send_slowly(request, connection):
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
    for _ in range(1000):
        connection.sendall(b"x")
        time.sleep(SHORT_TIMEOUT.read_seconds / 2)


@both
@pytest.mark.parametrize("script", [send_slowly, send_chunks, send_trailers])
def test_an_answer_without_end_is_given_up(transport, script):
    script = WatchedScript(script)
    with contextlib.closing(RawTarget(script)) as target:
        address = Address.parse(target.address)
        with pytest.raises(NoAnswerError):
            transport().post(address, "/turns/begin", b"{}", SHORT_TIMEOUT)
    assert script.wait_end(HANG_SECONDS) is ScriptEnd.CLOSED


@both
def test_nothing_listens(transport):
    listener = Listener()
    listener.close()
    with pytest.raises(NoAnswerError):
        post(transport(), listener)
    assert listener.connections == 0


def test_a_silence_closes_the_idle_connections_to_its_address(listen):
    listener = listen(ANSWER, ANSWER, None, ANSWER)
    used = HolderConnections()
    tasks = [eventlet.spawn(post, used, listener) for _ in range(2)]
    assert [task.wait().status for task in tasks] == [200, 200]
    assert len(used.idle[listener.address]) == 2
    with pytest.raises(NoAnswerError):
        post(used, listener)
    assert listener.address not in used.idle
    assert post(used, listener).status == 200
    assert listener.connections == 3


def test_no_more_connections_are_kept_than_allowed(listen):
    used = HolderConnections(size=1, hosts=1)
    first, second = listen(ANSWER, ANSWER, ANSWER), listen(ANSWER)
    tasks = [eventlet.spawn(post, used, first) for _ in range(3)]
    assert {task.wait().status for task in tasks} == {200}
    assert len(used.idle[first.address]) == 1
    post(used, second)
    assert list(used.idle) == [second.address]
