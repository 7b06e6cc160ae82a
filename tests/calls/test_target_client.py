"""What the books say of a target after its answers."""

from __future__ import annotations

import random
import time

import pytest

from cedarchute.address import Address
from cedarchute.calls.target_client import OpenResponse, TargetClient
from cedarchute.metrics import Metrics
from cedarchute.relay.target_answer import TargetAnswer
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry


class Connection:
    """An open connection that takes everything."""

    def finish(self, answer):
        pass


class Pool:
    def give_back(self, connection):
        pass


@pytest.fixture
def exchange():
    registry = TargetRegistry(lambda entry: None)
    for number in (1, 2):
        address = Address("10.0.0.1", number)
        registry.put(TargetEntry(f"t-{number}", "s", address, "a", True, 8))
    choice = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
    return TargetClient(Pool(), choice, None, Metrics())


def finish(exchange, target_id, status, seconds):
    """Bring an answer of a target to its end, `seconds` after it was sent."""
    target = exchange.choice.registry.known.entries[target_id]
    answer = TargetAnswer()
    answer.status = status
    sent_at = time.monotonic() - seconds
    exchange.choice.loads[target_id].active += 1
    exchange.finish(OpenResponse(target, Connection(), answer, sent_at, sent_at + 9))


def test_a_target_that_fails_fast_is_not_taken_for_a_fast_one(exchange):
    finish(exchange, "t-1", 500, 0.001)
    finish(exchange, "t-2", 200, 0.5)
    for _ in range(10):
        assert exchange.choice.select_target("s", set()).id == "t-2"
    assert exchange.choice.loads["t-1"].mean_latency_seconds is None


@pytest.mark.parametrize("status", [200, 404, 504])
def test_other_answers_say_how_long_a_target_takes(exchange, status):
    finish(exchange, "t-1", status, 0.001)
    finish(exchange, "t-2", 200, 0.5)
    assert exchange.choice.select_target("s", set()).id == "t-1"
    assert exchange.choice.loads["t-1"].failure_share == 0
