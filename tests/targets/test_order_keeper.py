from __future__ import annotations

import pytest
from fake_network import FakeNetwork
from fake_store import FakeStore
from fakes import StillClock

from cedarchute.address import Address
from cedarchute.membership.box_record import BoxRecord
from cedarchute.membership.lease_keeper import LeaseKeeper
from cedarchute.membership.store_keys import StoreKeys
from cedarchute.membership.view import View
from cedarchute.metrics import Metrics
from cedarchute.operators.configuration import Configuration
from cedarchute.operators.site_file import ServiceSection, TargetSection
from cedarchute.targets.orders.engine_reconciler import TERM_SECONDS, EngineReconciler

TARGET = TargetSection(service="agent", address="127.0.0.1:9000", failure_domain="a")
SERVICE = ServiceSection(kind="model", model="small", version="2")


class Engine:
    """An engine that ignores the fence."""

    def __init__(self):
        self.state = {"model": "small", "version": "1", "adapters": []}
        self.orders = []
        self.on_read = None

    def read_state(self, address):
        if self.on_read:
            self.on_read()
        return self.state

    def order(self, address, order):
        self.orders.append(order)
        self.state = {k: v for k, v in order.items() if k != "fence"}


class Site:
    """Two boxes that may order the same engine."""

    def __init__(self):
        self.clock = StillClock()
        self.store = FakeStore()
        self.engine = Engine()
        self.first = self.make_keeper(1)
        self.second = self.make_keeper(2)

    def make_keeper(self, number):
        record = BoxRecord(
            name=f"b{number}",
            incarnation=1,
            caller_address=Address("127.0.0.1", 1000 + number),
            peer_address=Address("127.0.0.1", 2000 + number),
            failure_domain="a",
            region="r",
            holder=f"b{number}.1",
        )
        store = self.store.client(FakeNetwork(), number)
        keys, view, metrics = StoreKeys("x/"), View(), Metrics()
        lease = LeaseKeeper(store, keys, view, record, 10, self.clock, metrics)
        return EngineReconciler(
            store,
            keys,
            view,
            lease,
            Configuration(metrics),
            self.engine,
            1.0,
            self.clock,
            metrics,
        )


@pytest.fixture
def site():
    return Site()


def test_an_engine_is_ordered_once_under_a_fence(site):
    site.first.look_after("one", TARGET, SERVICE)
    site.first.look_after("one", TARGET, SERVICE)
    assert [order["fence"] for order in site.engine.orders] == [1]
    assert site.engine.state["version"] == "2"


def test_a_holder_that_was_paused_in_its_term_gives_no_order(site):
    def pause():
        site.clock.now += TERM_SECONDS

    site.engine.on_read = pause
    site.first.look_after("one", TARGET, SERVICE)
    assert site.engine.orders == []
    site.engine.on_read = None
    site.first.look_after("one", TARGET, SERVICE)
    assert site.engine.orders[0]["fence"] == 2


def test_another_box_orders_only_after_the_term_is_over(site):
    site.first.take_term("one")
    site.second.look_after("one", TARGET, SERVICE)
    assert site.engine.orders == []
    site.clock.now += TERM_SECONDS + 1
    site.second.look_after("one", TARGET, SERVICE)
    assert site.engine.orders[0]["fence"] == 2


def test_a_term_whose_reply_was_lost_is_nobodys(site):
    site.store.lost_replies = 1
    site.first.look_after("one", TARGET, SERVICE)
    assert site.engine.orders == []
    site.first.look_after("one", TARGET, SERVICE)
    assert site.engine.orders[0]["fence"] == 2
