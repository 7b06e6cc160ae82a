"""Calls while this box has as many connections to a target as it may open."""

from __future__ import annotations

import contextlib
import random
import time
from types import SimpleNamespace

import eventlet
import pytest
from eventlet.green import socket

from cedarchute.address import Address
from cedarchute.calls.attempts import Attempts
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.target_client import TargetClient
from cedarchute.metrics import Metrics
from cedarchute.relay import target_connection
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.target_pool import TargetPool
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.route import Repeatability, Route
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry
from standins.raw_target import RawTarget, answer

SHARE = 2
HANG_SECONDS = 20.0
ROUTE = Route("r", "h", b"/", Repeatability.ONCE, (), 8.0, 0.4, max_targets=2)
CALL = Call("a1", None, ProgramContext("", None, "", 0))


@pytest.fixture(autouse=True)
def green_sockets(monkeypatch):
    monkeypatch.setattr(target_connection, "socket", socket)
    with eventlet.Timeout(HANG_SECONDS):
        yield


def respond(request, connection):
    connection.sendall(answer(request))


def hang(request, connection):
    request.closed.wait(HANG_SECONDS)


@pytest.fixture
def serve():
    """Return a function that makes a client of scripted targets of many places."""
    with contextlib.ExitStack() as stack:

        def start(**scripts):
            registry = TargetRegistry(lambda entry: None)
            targets = {}
            for name, script in scripts.items():
                targets[name] = stack.enter_context(
                    contextlib.closing(RawTarget(script))
                )
                address = Address.parse(targets[name].address)
                registry.put(TargetEntry(name, "s", address, "a", True, 100))
            metrics = Metrics()
            pool = TargetPool(metrics, lambda address: SHARE)
            choice = LoadBalancer(registry, "a", random.Random(7), pool.is_warm)
            keys = SimpleNamespace(revalidate=lambda call: None)
            return TargetClient(pool, choice, keys, None, metrics), targets

        yield start


def open_call(client):
    headers = Headers(((b"Attempt-Id", b"a1"),))
    request = CallerRequest(b"POST", b"/", headers, b"", True, time.monotonic())
    return Attempts(client, client.metrics, request, CALL, ROUTE, "s", b"").open()


def hold_share(client, target):
    """Have calls under way on each connection that may be opened."""
    tasks = [eventlet.spawn(open_call, client) for _ in range(SHARE)]
    while len(target.requests) < SHARE:
        eventlet.sleep(0.01)
    return tasks


def test_a_call_beyond_the_share_is_refused_as_not_run(serve):
    client, targets = serve(slow=hang)
    tasks = hold_share(client, targets["slow"])
    with pytest.raises(CallRefusedError) as caught:
        open_call(client)
    assert caught.value.status == 503
    assert 0 < caught.value.retry_after_seconds < 1
    assert len(targets["slow"].requests) == SHARE
    assert client.load_balancer.loads["slow"].failure_share == 0
    for task in tasks:
        task.kill()


def test_a_call_beyond_the_share_of_one_target_goes_to_another(serve):
    client, targets = serve(slow=hang)
    tasks = hold_share(client, targets["slow"])
    fast = RawTarget(respond)
    entry = TargetEntry("fast", "s", Address.parse(fast.address), "b", True, 1)
    client.load_balancer.registry.put(entry)
    with contextlib.closing(fast):
        assert open_call(client).target.id == "fast"
    assert client.metrics.totals["refused.connection_share"] > 0
    assert len(targets["slow"].requests) == SHARE
    for task in tasks:
        task.kill()


def test_a_call_is_sent_once_a_connection_of_the_share_is_free(serve):
    client, targets = serve(slow=hang)
    tasks = hold_share(client, targets["slow"])
    third = eventlet.spawn(open_call, client)
    eventlet.sleep(0.03)
    tasks.pop().kill()
    while len(targets["slow"].requests) == SHARE:
        eventlet.sleep(0.01)
    for task in [third, *tasks]:
        task.kill()
