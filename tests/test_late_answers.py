"""Answers that come after their request was given up reach no later request."""

from __future__ import annotations

import contextlib
import threading
import time

import eventlet
import pytest
import urllib3
from eventlet.green import socket as green_socket

from cedarchute.address import Address
from cedarchute.fresh_connections import FreshConnections
from cedarchute.host_pools import HostPools
from cedarchute.relay import target_connection
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_connections import HolderConnections
from cedarchute.turns.holder_transport import NoAnswerError
from cedarchute.turns.pooled_transport import PooledTransport
from standins.raw_target import RawTarget

SHORT_SECONDS = 0.2
HANG_SECONDS = 30.0


def write_answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class PooledClient:
    """Asks by a pool of urllib3."""

    errors = urllib3.exceptions.HTTPError

    def __init__(self, pools, preload_content=True):
        self.pools = pools
        self.preload_content = preload_content

    def ask(self, address, body, seconds):
        response = self.pools.request(
            "POST",
            address,
            "/x",
            body=body,
            timeout=seconds,
            preload_content=self.preload_content,
        )
        try:
            data = response.read() if not self.preload_content else response.data
        except urllib3.exceptions.HTTPError:
            response.close()
            raise
        response.release_conn()
        return data


class HolderClient:
    """Asks as holders are asked."""

    errors = NoAnswerError

    def __init__(self, transport, must_give_up=None):
        self.transport = transport
        self.must_give_up = must_give_up

    def ask(self, address, body, seconds):
        timeout = AnswerTimeout(connect_seconds=2.0, read_seconds=seconds)
        answer = self.transport.post(address, "/x", body, timeout, self.must_give_up)
        return bytes(answer.body)


CLIENTS = {
    "pools": lambda: PooledClient(HostPools(1, hosts=1)),
    "pools, unread": lambda: PooledClient(HostPools(1, hosts=1), False),
    "fresh": lambda: PooledClient(FreshConnections()),
    "holders": lambda: HolderClient(HolderConnections()),
    "holders, given up": lambda: HolderClient(HolderConnections(), lambda: True),
    "holders of entries": lambda: HolderClient(PooledTransport()),
}


@pytest.fixture(autouse=True)
def green_sockets(monkeypatch):
    monkeypatch.setattr(target_connection, "socket", green_socket)
    with eventlet.Timeout(HANG_SECONDS):
        yield


@pytest.fixture(params=sorted(CLIENTS))
def client(request):
    return CLIENTS[request.param]()


class LateTarget:
    """Answers its first request late: nothing of it, or a part, comes before.

    Attributes
    ----------
    is_given_up : Event
        Set once the first request was given up.
    """

    def __init__(self, early):
        self.early = early
        self.is_given_up = threading.Event()
        self.count = 0

    def __call__(self, request, connection):
        self.count += 1
        whole = write_answer(request.body)
        if self.count > 1:
            connection.sendall(whole)
            return
        connection.sendall(whole[: self.early])
        self.is_given_up.wait(HANG_SECONDS)
        connection.sendall(whole[self.early :])


# MIXED: an answer that came after its time would answer the next request.
@pytest.mark.parametrize("early", [0, 20, -2], ids=["nothing", "head", "body"])
def test_an_answer_after_its_time_answers_no_later_request(client, early):
    script = LateTarget(early)
    with contextlib.closing(RawTarget(script)) as target:
        address = Address.parse(target.address)
        with pytest.raises(client.errors):
            client.ask(address, b"first", SHORT_SECONDS)
        script.is_given_up.set()
        client.must_give_up = None
        for number in range(3):
            body = b"later %d" % number
            assert client.ask(address, body, HANG_SECONDS) == body


# MIXED: a surplus answer on an idle connection would answer the next request.
def test_a_surplus_answer_on_an_idle_connection_answers_no_request(client):
    def answer_twice(request, connection):
        whole = write_answer(request.body)
        connection.sendall(whole)
        time.sleep(SHORT_SECONDS / 4)
        connection.sendall(whole)

    client.must_give_up = None
    with contextlib.closing(RawTarget(answer_twice)) as target:
        address = Address.parse(target.address)
        for number in range(4):
            body = b"text %d" % number
            assert client.ask(address, body, HANG_SECONDS) == body
            eventlet.sleep(SHORT_SECONDS)
