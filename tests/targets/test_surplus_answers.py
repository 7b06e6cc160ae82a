"""Answers that engines and services of the older interface send twice."""

from __future__ import annotations

import contextlib
import json
import time

import pytest

from cedarchute.address import Address
from cedarchute.metrics import Metrics
from cedarchute.targets.engine_client import EngineClient
from cedarchute.targets.service_client import ServiceClient
from cedarchute.targets.stream_chunk import StreamChunk
from standins.raw_target import RawTarget

SECONDS = 5.0


def write_answer(body, status=b"200 OK"):
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


class RepeatingTarget:
    """Sends the answer before once more, in the place of the next one.

    Attributes
    ----------
    requests : list of bytes
        The bodies of what came in.
    """

    def __init__(self, make_answer):
        self.make_answer = make_answer
        self.surplus = {}
        self.requests = []

    def __call__(self, request, connection):
        connection.sendall(self.surplus.pop(connection, b""))
        self.requests.append(request.body)
        whole = self.make_answer(request)
        time.sleep(0.02)
        connection.sendall(whole)
        self.surplus[connection] = whole


@contextlib.contextmanager
def start(make_answer):
    script = RepeatingTarget(make_answer)
    with contextlib.closing(RawTarget(script)) as target:
        yield script, Address.parse(target.address)


# MIXED: a caller got the surplus answer to the call before.
def test_a_surplus_answer_of_a_service_answers_no_later_call():
    with start(lambda request: write_answer(request.body)) as (_, address):
        client = ServiceClient()
        for text in ("one", "two", "three"):
            assert client.call(address, text, "p", text, SECONDS) == text


# Engine memory of ended programs: an order was believed confirmed by the answer to the
# one before.
def test_a_surplus_answer_confirms_no_later_order():
    statuses = [b"200 OK", b"409 Conflict"]

    def make_answer(request):
        return write_answer(b"{}", statuses[len(script.requests) - 1])

    with start(make_answer) as (script, address):
        client = EngineClient(Metrics())
        client.release(address, "p1")
        with pytest.raises(Exception, match="409"):
            client.release(address, "p2")


# MIXED: a stream began with the surplus stream of another call.
def test_a_surplus_stream_answers_no_later_call():
    def make_answer(request):
        text = json.loads(request.body)["text"]
        delta = {"choices": [{"delta": {"content": text}}]}
        usage = {"prompt_tokens": 1, "cached_tokens": 0, "completion_tokens": 1}
        end = {"choices": [], "usage": usage}
        events = "".join(f"data: {json.dumps(each)}\n\n" for each in (delta, end))
        return write_answer(events.encode())

    class Request:
        def __init__(self, text):
            self.text = text

        def to_bytes(self):
            return json.dumps({"text": self.text}).encode()

    with start(make_answer) as (_, address):
        client = EngineClient(Metrics())
        for text in ("one", "two", "three"):
            items = list(client.generate(address, Request(text), SECONDS))
            chunks = [each for each in items if isinstance(each, StreamChunk)]
            assert [each.text for each in chunks] == [text]
