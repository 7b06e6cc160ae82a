"""Requests cut at random, on a server that begins to stop at random."""

from __future__ import annotations

import contextlib
import random

import eventlet
import pytest
from eventlet.green import socket

from cedarchute.metrics import Metrics
from cedarchute.relay.caller_connection import CallerConnection
from cedarchute.relay.caller_server import CallerServer
from cedarchute.relay.headers import Headers
from cedarchute.relay.input_limits import InputLimits
from experiments.raw_caller import RawCaller, build_request

# Long enough for any machine; reached only if an answer never comes.
HANG_SECONDS = 30.0
SEEDS = 40
REQUESTS = 8
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class GreenCaller(RawCaller):
    """A caller in the process of the server that sends its bytes in random parts.

    Attributes
    ----------
    sent : int
        Number of requests that are sent whole.
    """

    def __init__(self, address, chance):
        self.sock = socket.create_connection(address)
        self.rest = b""
        self.chance = chance
        self.sent = 0

    def send_all(self, requests):
        """Send requests; parts of several may go out together."""
        data = b"".join(requests)
        ends = [sum(map(len, requests[: n + 1])) for n in range(len(requests))]
        begin = 0
        with contextlib.suppress(OSError):
            while begin < len(data):
                end = begin + self.chance.choice((1, 20, 90, 300, 700))
                self.sock.sendall(data[begin:end])
                begin = end
                self.sent = sum(end >= whole for whole in ends)
                for _ in range(self.chance.randrange(6)):
                    eventlet.sleep(0)

    def read_response(self, request):
        """Return status and headers of the next final response, or None at the end."""
        while (head := self.read_until(b"\r\n\r\n")) == CONTINUE:
            pass
        if not head:
            return None
        self.rest = head + self.rest
        if request.startswith(b"HEAD"):
            self.read_until(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            headers = dict(line.lower().split(": ") for line in lines[1:] if line)
            return int(lines[0].split()[1]), headers
        status, headers, body = self.read_answer()
        if status == 200:
            assert body.startswith(b"body of ")
        return status, headers


def make_request(number, chance):
    call_id = b"c%d" % number
    path = chance.choice((b"/stream", b"/whole"))
    method = chance.choice((b"POST", b"POST", b"HEAD"))
    headers = chance.choice((b"", b"", b"Expect: 100-continue\r\n"))
    body = b"" if method == b"HEAD" else b"x" * chance.choice((0, 3, 400))
    request = build_request(path, call_id, body, method, headers)
    if not body or chance.random() < 0.5:
        return request
    length = b"Content-Length: %d" % len(body)
    head = request.removesuffix(body).replace(length, b"Transfer-Encoding: chunked")
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_each_request_that_was_sent_before_the_close_is_answered(seed, monkeypatch):
    chance = random.Random(seed)
    sent_at_close = []

    def handle(request, writer):
        headers = Headers(((b"Attempt-Id", request.headers.get(b"attempt-id")),))
        pauses = chance.randrange(4)
        if writer.follows_close:
            writer.write_refusal(503, "not run", headers)
            return
        if request.target == b"/stream":
            writer.start_stream(200, headers)
            for _ in range(pauses):
                eventlet.sleep(0)
            writer.write_part(b"body of ")
            writer.end_stream(b"a stream")
            return
        for _ in range(pauses):
            eventlet.sleep(0)
        writer.write_whole(200, headers, b"body of a whole response")

    shut_down = CallerConnection.shut_down

    def record_close(connection, how=socket.SHUT_RDWR):
        sent_at_close.append(caller.sent)
        shut_down(connection, how)

    monkeypatch.setattr(CallerConnection, "shut_down", record_close)
    requests = [make_request(number, chance) for number in range(REQUESTS)]
    with contextlib.closing(eventlet.listen(("127.0.0.1", 0))) as listener:
        limits = InputLimits()
        server = CallerServer(listener, handle, lambda: limits, Metrics())
        accepting = eventlet.spawn(server.serve_forever)
        stopping = eventlet.spawn_after(0, begin_closing, server, chance.randrange(80))
        with (
            eventlet.Timeout(HANG_SECONDS),
            GreenCaller(listener.getsockname(), chance) as caller,
        ):
            sending = eventlet.spawn(caller.send_all, requests)
            count = check_responses(caller, requests)
            sending.kill()
            stopping.kill()
        accepting.kill()
    assert count == REQUESTS or count >= sent_at_close[0]


def begin_closing(server, steps):
    for _ in range(steps):
        eventlet.sleep(0)
    server.begin_closing()


def check_responses(caller, requests):
    """Read the responses in order; return how many came."""
    announced = False
    for number, request in enumerate(requests):
        response = caller.read_response(request)
        if response is None:
            return number
        status, headers = response
        assert headers["attempt-id"] == f"c{number}"
        assert status == (503 if announced else 200)
        announced = announced or headers.get("connection") == "close"
    return len(requests)
