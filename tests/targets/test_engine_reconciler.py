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
from cedarchute.targets.orders.engine_reconciler import LEASE_SECONDS, EngineReconciler

TARGET = TargetSection(service="agent", address="127.0.0.1:9000", failure_domain="a")
SERVICE = ServiceSection(kind="model", model="small", version="2")


class FakeEngine:
    """Fake engine that ignores the fencing token."""

    def __init__(self):
        self.state = {"model": "small", "version": "1", "adapters": []}
        self.commands = []
        self.on_read = None

    def read_state(self, address):
        if self.on_read:
            self.on_read()
        return self.state

    def send_command(self, address, command):
        self.commands.append(command)
        self.state = {k: v for k, v in command.items() if k != "fence"}


class Cluster:
    """Two boxes that reconcile the same engine."""

    def __init__(self):
        self.clock = StillClock()
        self.store = FakeStore()
        self.engine = FakeEngine()
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
def cluster():
    return Cluster()


def test_an_engine_is_ordered_once_under_a_fence(cluster):
    cluster.first.reconcile("one", TARGET, SERVICE)
    cluster.first.reconcile("one", TARGET, SERVICE)
    assert [command["fence"] for command in cluster.engine.commands] == [1]
    assert cluster.engine.state["version"] == "2"


def test_a_holder_that_was_paused_in_its_term_gives_no_order(cluster):
    def pause():
        cluster.clock.now += LEASE_SECONDS

    cluster.engine.on_read = pause
    cluster.first.reconcile("one", TARGET, SERVICE)
    assert cluster.engine.commands == []
    cluster.engine.on_read = None
    cluster.first.reconcile("one", TARGET, SERVICE)
    assert cluster.engine.commands[0]["fence"] == 2


def test_another_box_orders_only_after_the_term_is_over(cluster):
    cluster.first.acquire_lease("one")
    cluster.second.reconcile("one", TARGET, SERVICE)
    assert cluster.engine.commands == []
    cluster.clock.now += LEASE_SECONDS + 1
    cluster.second.reconcile("one", TARGET, SERVICE)
    assert cluster.engine.commands[0]["fence"] == 2


def test_a_term_whose_reply_was_lost_is_nobodys(cluster):
    cluster.store.lost_replies = 1
    cluster.first.reconcile("one", TARGET, SERVICE)
    assert cluster.engine.commands == []
    cluster.first.reconcile("one", TARGET, SERVICE)
    assert cluster.engine.commands[0]["fence"] == 2
