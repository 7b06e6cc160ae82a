"""Load and failure statistics of targets after their responses."""

from __future__ import annotations

import random
import time

import pytest

from cedarchute.address import Address
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.target_client import OpenResponse, TargetClient
from cedarchute.metrics import Metrics
from cedarchute.pressure.growth_order import GrowthOrder
from cedarchute.pressure.held_byte_account import HeldByteAccount
from cedarchute.pressure.held_bytes import HeldCause
from cedarchute.relay.answer_limits import AnswerLimits
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.connection_share_error import ConnectionShareError
from cedarchute.relay.headers import Headers
from cedarchute.relay.target_answer import TargetAnswer
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry
from cedarchute.verdict import Verdict


class Connection:
    """A connection that accepts any response."""

    def finish(self, answer):
        pass


class Pool:
    def give_back(self, connection):
        pass


@pytest.fixture
def client():
    registry = TargetRegistry(lambda entry: None)
    for number in (1, 2):
        address = Address("10.0.0.1", number)
        registry.put(TargetEntry(f"t-{number}", "s", address, "a", True, 8))
    load_balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
    return TargetClient(Pool(), load_balancer, None, None, Metrics())


def finish(client, target_id, status, seconds):
    """Finish a response of a target, `seconds` after the call was sent."""
    target = client.load_balancer.registry.known.entries[target_id]
    answer = TargetAnswer()
    answer.status = status
    sent_at = time.monotonic() - seconds
    client.load_balancer.loads[target_id].active += 1
    client.finish(OpenResponse(target, Connection(), answer, sent_at, sent_at + 9))


def test_a_target_that_fails_fast_is_not_taken_for_a_fast_one(client):
    finish(client, "t-1", 500, 0.001)
    finish(client, "t-2", 200, 0.5)
    for _ in range(10):
        assert client.load_balancer.select_target("s", set()).id == "t-2"
    assert client.load_balancer.loads["t-1"].mean_latency_seconds is None


@pytest.mark.parametrize("status", [200, 404, 504])
def test_other_answers_say_how_long_a_target_takes(client, status):
    finish(client, "t-1", status, 0.001)
    finish(client, "t-2", 200, 0.5)
    assert client.load_balancer.select_target("s", set()).id == "t-1"
    assert client.load_balancer.loads["t-1"].failure_share == 0


class ExhaustedPool(Pool):
    """A pool of which this box's share is in use."""

    def take(self, address, seconds, call_id=""):
        raise ConnectionShareError(2)


def test_a_target_at_the_share_of_connections_counts_as_full_not_as_failed(client):
    client.pool = ExhaustedPool()
    target = client.load_balancer.registry.known.entries["t-1"]
    request = CallerRequest(b"POST", b"/", Headers(), b"", True, time.monotonic())
    call = Call("a1", None, ProgramContext("", None, "", 0))
    deadline = time.monotonic() + 9
    with pytest.raises(TargetFailureError) as caught:
        client.open(request, call, target, b"", deadline, deadline)
    assert caught.value.verdict is Verdict.NOT_RUN
    load = client.load_balancer.loads["t-1"]
    assert load.active == 0
    assert load.failure_share == 0
    assert load.is_backing_off
    assert client.load_balancer.select_target("s", set()).id == "t-2"


class GrowingConnection(Connection):
    """A connection whose response never ends."""

    def __init__(self, answer):
        self.answer = answer

    def receive(self, seconds):
        self.answer.parts.append(b"x" * 65_536)


def test_a_large_response_is_left_unread_near_the_bound(client):
    client.memory.held = HeldByteAccount(8_000_000, Metrics())
    client.growth_order = GrowthOrder(client.memory.held)
    first = client.hold(HeldCause.ANSWER)
    first.grow(6_000_000)
    assert client.growth_order.may_grow(first)
    target = client.load_balancer.registry.known.entries["t-1"]
    answer = TargetAnswer()
    now = time.monotonic()
    opened = OpenResponse(target, GrowingConnection(answer), answer, now, now + 0.2)
    with (
        pytest.raises(TargetFailureError) as caught,
        client.hold(HeldCause.ANSWER) as amount,
    ):
        client.read_body(opened, amount)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert caught.value.reason.startswith("refused")
    assert client.memory.held.total == 6_000_000
    assert client.metrics.totals["refused.held_answer"] == 1


class SizedConnection(Connection):
    """A connection whose response of a known length comes in small parts."""

    def __init__(self, answer, size):
        self.answer = answer
        self.rest = size
        answer.headers = Headers(((b"content-length", b"%d" % size),))

    def receive(self, seconds):
        part = min(65_536, self.rest)
        self.answer.parts.append(b"x" * part)
        self.rest -= part
        self.answer.is_complete = not self.rest


def read_sized(client, size, amount):
    answer = TargetAnswer()
    target = client.load_balancer.registry.known.entries["t-1"]
    now = time.monotonic()
    connection = SizedConnection(answer, size)
    opened = OpenResponse(target, connection, answer, now, now + 0.5)
    return client.read_body(opened, amount)


def test_fast_callers_get_responses_that_fit_while_slow_ones_read_large_ones(client):
    client.memory.held = HeldByteAccount(8_000_000, Metrics())
    client.growth_order = GrowthOrder(client.memory.held)
    client.limits = AnswerLimits(held_bytes=2_000_000)
    slow = [client.hold(HeldCause.ANSWER) for _ in range(4)]
    for amount in slow:
        read_sized(client, 1_700_000, amount)
    for _ in range(5):
        with client.hold(HeldCause.ANSWER) as amount:
            assert len(read_sized(client, 200_000, amount)) == 200_000
    assert client.memory.held.total == 4 * 1_700_000
    assert not client.metrics.totals["refused.held_answer"]
