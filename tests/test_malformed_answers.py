"""The same bytes are an answer, or none, for everything that reads answers."""

from __future__ import annotations

import contextlib

import eventlet
import pytest
import urllib3
from eventlet.green import socket as green_socket

from cedarchute.address import Address
from cedarchute.answer_bound import AnswerBound
from cedarchute.cli import box_client
from cedarchute.cli.box_client import BoxClient, BoxSilentError
from cedarchute.fresh_connections import FreshConnections
from cedarchute.host_pools import HostPools
from cedarchute.metrics import Metrics
from cedarchute.peers.peer_client import PeerClient
from cedarchute.platform.box_list import BoxListWatcher
from cedarchute.platform.store_client import StoreClient, StoreUnavailableError
from cedarchute.relay import target_connection
from cedarchute.relay.answer_reader import AnswerReader
from cedarchute.relay.malformed_answer_error import MalformedAnswerError
from cedarchute.targets.engine_client import EngineClient
from cedarchute.targets.generate_request import GenerateRequest
from cedarchute.targets.service_client import ServiceClient
from cedarchute.targets.target_error import BROKE_OFF, TargetError
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_connections import HolderConnections
from cedarchute.turns.holder_transport import NoAnswerError
from cedarchute.turns.pooled_transport import PooledTransport
from cedarchute.verdict import Verdict
from standins.malformed_answers import (
    FIELDS,
    MALFORMED,
    MALFORMED_CHUNKS,
    RIGHT_BODY,
    UNUSUAL,
    fill,
)
from standins.raw_target import RawTarget, reset

# Far beyond what an answer on one machine needs; a malformed one is told without it.
HANG_SECONDS = 20.0
SHAPES = {**MALFORMED, **MALFORMED_CHUNKS}
CUTS = {
    "no_head_end": b"HTTP/1.1 200 OK\r\n" + FIELDS,
    "in_a_line": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 1",
    "in_the_start": b"HTTP/1.1 20",
    "after_an_interim_one": b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "before_any": b"",
    "in_the_body": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 50\r\n\r\nwr",
    "in_the_chunks": b"HTTP/1.1 200 OK\r\n"
    + FIELDS
    + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0",
}


def call_service(address):
    return ServiceClient().call(address, "k", "p", "{}", HANG_SECONDS).encode()


def call_pools(address):
    pools = HostPools(1, hosts=1)
    return pools.request("GET", address, "/x", timeout=HANG_SECONDS).data


def call_fresh(address):
    pools = FreshConnections()
    return pools.request("GET", address, "/x", timeout=HANG_SECONDS).data


def read_stream(address):
    pools = HostPools(1, 1, AnswerBound(1_000_000, is_stream=True))
    response = pools.request(
        "GET", address, "/x", timeout=HANG_SECONDS, preload_content=False
    )
    return b"".join(iter(lambda: response.read1(100), b""))


def generate(address):
    request = GenerateRequest("r", "p", "m", (), 10, 5)
    return list(EngineClient(Metrics()).generate(address, request, HANG_SECONDS))


def ask_engine(address):
    return EngineClient(Metrics()).read_state(address)


def read_store(address):
    return StoreClient(address, Metrics()).read("key")


def ask_peer(address):
    pools = PeerClient(Metrics()).pools
    return pools.request("GET", address, "/x", timeout=HANG_SECONDS).data


def ask_holder(transport):
    def ask(address):
        timeout = AnswerTimeout(connect_seconds=2.0, read_seconds=HANG_SECONDS)
        return bytes(transport().post(address, "/x", b"", timeout).body)

    return ask


def use_tool(address):
    return BoxClient([str(address)]).get("/x")


# By name: how an answer is read, and the error that tells that there is none.
READERS = {
    "services": (call_service, TargetError),
    "pools": (call_pools, urllib3.exceptions.HTTPError),
    "fresh connections": (call_fresh, urllib3.exceptions.HTTPError),
    "streams of boxes": (read_stream, urllib3.exceptions.HTTPError),
    "engines": (generate, TargetError),
    "orders to engines": (ask_engine, TargetError),
    "the store": (read_store, StoreUnavailableError),
    "boxes": (ask_peer, urllib3.exceptions.HTTPError),
    "holders": (ask_holder(HolderConnections), NoAnswerError),
    "holders among themselves": (ask_holder(PooledTransport), NoAnswerError),
    "command line": (use_tool, BoxSilentError),
}
# Those that return a body as it is.
BODY_READERS = [
    "services",
    "pools",
    "fresh connections",
    "streams of boxes",
    "boxes",
    "holders",
    "holders among themselves",
]


@pytest.fixture(autouse=True)
def green_sockets(monkeypatch):
    monkeypatch.setattr(target_connection, "socket", green_socket)
    monkeypatch.setattr(box_client, "ATTEMPTS", 1)
    with eventlet.Timeout(HANG_SECONDS):
        yield


@pytest.fixture(params=sorted(READERS))
def reader(request):
    return READERS[request.param]


def send_once(data, is_closing=False):
    """Return a script that answers every request with the same bytes."""

    def script(request, connection):
        connection.sendall(data)
        if is_closing:
            connection.close()

    return script


def ask(read, script):
    with contextlib.closing(RawTarget(script)) as target:
        return read(Address.parse(target.address))


# MIXED: what followed a malformed line was dropped, and the body read to the close.
@pytest.mark.parametrize("shape", sorted(SHAPES))
def test_a_malformed_answer_is_a_failure(reader, shape):
    read, error = reader
    with pytest.raises(error):
        ask(read, send_once(fill(SHAPES[shape]) + b"surplus", is_closing=True))


# It is known at once: the connection stays open, and nobody waits for its time limit.
@pytest.mark.parametrize("shape", sorted(MALFORMED))
def test_a_malformed_head_is_told_before_any_close(reader, shape):
    read, error = reader
    with pytest.raises(error) as caught:
        ask(read, send_once(fill(MALFORMED[shape])))
    assert "timed out" not in str(caught.value)


# MIXED: a head that was cut off was taken for a whole one, with an empty body.
@pytest.mark.parametrize("shape", sorted(CUTS))
def test_an_answer_that_is_cut_off_is_a_failure(reader, shape):
    read, error = reader
    with pytest.raises(error):
        ask(read, send_once(fill(CUTS[shape]), is_closing=True))


@pytest.mark.parametrize("name", BODY_READERS)
@pytest.mark.parametrize("shape", sorted(UNUSUAL))
def test_an_unusual_head_that_keeps_the_rules_is_accepted(name, shape):
    assert ask(READERS[name][0], send_once(fill(UNUSUAL[shape]))) == RIGHT_BODY


@pytest.mark.parametrize("name", BODY_READERS)
def test_a_body_without_length_ends_with_its_connection(name):
    data = b"HTTP/1.1 200 OK\r\n\r\n" + RIGHT_BODY
    assert ask(READERS[name][0], send_once(data, is_closing=True)) == RIGHT_BODY


# "Not run" is no guess: the bytes of a target had the text of a refused connection.
@pytest.mark.parametrize("start", [b"Connection refused", b"HTTP/1.1 000 refused"])
@pytest.mark.parametrize("read", [call_service, generate, ask_engine])
def test_a_malformed_answer_never_says_that_a_call_has_not_run(read, start):
    with pytest.raises(TargetError) as caught:
        ask(read, send_once(start + b"\r\n\r\n", is_closing=True))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert caught.value.reason == BROKE_OFF


# The list of boxes is kept as it was.
def test_a_malformed_list_of_boxes_is_not_used():
    metrics = Metrics()
    listed = b'{"boxes":[{"name":"box","state":"leaving"}]}'
    data = b"HTTP/1.1 200 OK\r\nX A: b\r\n\r\n" + listed
    with contextlib.closing(RawTarget(send_once(data, is_closing=True))) as target:
        address = Address.parse(target.address)
        BoxListWatcher(address, "box", None, None, None, metrics).read_once()
    assert metrics.totals["platform.box_list_failed"] == 1


def test_surplus_bytes_reach_no_later_request():
    def answer_with_surplus(request, connection):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%s"
        connection.sendall(whole % request.line[5:7] + whole % b"no")

    pools = HostPools(1, hosts=1)
    with contextlib.closing(RawTarget(answer_with_surplus)) as target:
        address = Address.parse(target.address)
        for number in range(3):
            path = f"/{number}a"
            response = pools.request("GET", address, path, timeout=HANG_SECONDS)
            assert response.data == path[1:].encode()


def split(data):
    return [data[number : number + 1] for number in range(len(data))]


@pytest.mark.parametrize("shape", sorted(SHAPES))
def test_bytes_that_come_one_by_one_are_no_answer_either(shape):
    reader = AnswerReader()
    with pytest.raises(MalformedAnswerError):
        for byte in split(fill(SHAPES[shape])):
            reader.feed(byte)


def test_a_reset_within_a_head_is_a_failure():
    def cut(request, connection):
        connection.sendall(fill(CUTS["in_a_line"]))
        reset(connection)

    with pytest.raises(TargetError) as caught:
        ask(call_service, cut)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
