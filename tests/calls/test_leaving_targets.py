"""Targets that leave between the choice of a target and the send."""

from __future__ import annotations

import random
import time
from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from cedarchute.address import Address
from cedarchute.calls.attempts import Attempts
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.target_client import TargetClient
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.target_answer import TargetAnswer
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.route import Repeatability, Route
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry

ROUTE = Route("r", "h", b"/", Repeatability.ONCE, (), 8.0, 0.4, max_targets=2)
ENTRY = TargetEntry("t-1", "s", Address("10.0.0.1", 80), "a", True, 8)
OTHER = replace(ENTRY, id="t-2", address=Address("10.0.0.2", 80))


class Connection:
    """Keeps what is sent on it, and answers."""

    discarded = 0

    def __init__(self, address, sent):
        self.address = address
        self.sent = sent

    def send(self, data, seconds):
        self.sent.append(self.address)

    def read_answer(self, *_):
        answer = TargetAnswer()
        answer.status = 200
        return answer

    def close(self):
        pass


class SlowPool:
    """A pool in which something happens while the first connection is opened."""

    def __init__(self, happen):
        self.happen = happen
        self.sent = []

    def take(self, address, seconds, call_id=""):
        happen, self.happen = self.happen, lambda address: None
        happen(address)
        return Connection(address, self.sent)


@pytest.fixture
def registry():
    registry = TargetRegistry(lambda entry: None)
    registry.put(ENTRY)
    registry.put(OTHER)
    return registry


def make_client(registry, pool, **options):
    balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
    keys = SimpleNamespace(revalidate=lambda call: None)
    return TargetClient(pool, balancer, keys, None, Metrics(), **options)


def open_call(client):
    request = CallerRequest(b"POST", b"/", Headers(), b"", True, time.monotonic())
    call = Call("a1", None, ProgramContext("", None, "", 0))
    return Attempts(client, client.metrics, request, call, ROUTE, "s", b"").open()


@pytest.mark.parametrize("is_gone", [False, True])
def test_a_target_that_leaves_while_a_call_connects_does_not_get_it(registry, is_gone):
    left = []

    def leave(address):
        entry = next(e for e in (ENTRY, OTHER) if e.address == address)
        left.append(address)
        if is_gone:
            registry.remove(entry.id)
        else:
            registry.put(replace(entry, ready=False))

    pool = SlowPool(leave)
    client = make_client(registry, pool)
    opened = open_call(client)
    assert pool.sent == [opened.target.address]
    assert opened.target.address not in left
    for load in client.load_balancer.loads.values():
        assert load.failure_share == 0


def test_an_address_that_another_target_took_over_while_a_call_connects_gets_none(
    registry,
):
    def take_over(address):
        entry = next(e for e in (ENTRY, OTHER) if e.address == address)
        registry.put(replace(entry, started_at_ms=5000))

    pool = SlowPool(take_over)
    opened = open_call(make_client(registry, pool))
    known = registry.find_incarnation(opened.target.incarnation)
    assert known is not None
    assert len(pool.sent) == 1


class OldView:
    """A view that was complete some seconds ago; `refresh` may make it current."""

    def __init__(self, on_refresh=None, is_store_lost=False):
        self.complete_age_seconds = 1.9
        self.on_refresh = on_refresh
        self.is_store_lost = is_store_lost
        self.refreshes = 0

    def refresh(self, seconds):
        self.refreshes += 1
        if self.on_refresh is not None:
            self.on_refresh()
            self.complete_age_seconds = 0.0


def open_by_view(registry, view):
    pool = SlowPool(lambda address: None)
    client = make_client(registry, pool, view=view, max_view_age_seconds=1.8)
    return client, open_call(client)


def test_a_call_is_not_sent_by_an_old_view_where_the_store_can_tell_more(registry):
    def find_both_but_one_gone():
        registry.put(replace(ENTRY, ready=False))

    view = OldView(find_both_but_one_gone)
    client, opened = open_by_view(registry, view)
    assert opened.target.id == OTHER.id
    assert view.refreshes == 1
    assert client.metrics.totals["calls.sent_by_old_view"] == 0


def test_a_call_goes_out_by_an_old_view_if_the_store_says_nothing(registry):
    view = OldView()
    client, _ = open_by_view(registry, view)
    assert view.refreshes == 1
    assert client.metrics.totals["calls.sent_by_old_view"] == 1


def test_no_call_waits_for_a_store_that_is_lost(registry):
    view = OldView(is_store_lost=True)
    open_by_view(registry, view)
    assert view.refreshes == 0
