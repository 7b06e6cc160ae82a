"""Tests the store client against a fake store."""

from __future__ import annotations

import threading
from types import SimpleNamespace

import pytest

from cedarchute.address import Address
from cedarchute.metrics import Metrics
from cedarchute.platform.store_client import (
    HistoryGoneError,
    LeaseGoneError,
    StoreClient,
    StoreUnavailableError,
)
from experiments.node_site import NodeSite


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with NodeSite(tmp_path_factory.mktemp("store")) as started:
        started.start_store()
        yield started


@pytest.fixture
def store(site):
    yield StoreClient(Address.parse(site.store), Metrics(), timeout=2.0)
    site.switch_store(down=False, lose_replies=0, rate=1e9)


def test_a_swap_wins_only_at_the_expected_version(store):
    assert store.get("k/one") is None
    first = store.swap("k/one", "a", 0)
    assert first.won
    lost = store.swap("k/one", "b", 0)
    assert (lost.won, lost.current.value) == (False, "a")
    assert store.swap("k/one", "b", first.current.version).won
    assert store.get("k/one").value == "b"
    assert store.delete("k/one", store.get("k/one").version).won
    assert store.get("k/one") is None


def test_a_swap_whose_reply_was_lost_is_settled_by_reading_back(store, site):
    quick = StoreClient(store.address, Metrics(), timeout=0.5)
    site.switch_store(lose_replies=1)
    result = quick.swap("k/lost", "mine", 0)
    assert result.won
    assert quick.metrics.totals["retried.store_reply_lost"] == 1
    site.switch_store(lose_replies=1)
    again = quick.swap("k/lost", "other", result.current.version)
    assert again.won
    assert store.get("k/lost").value == "other"


def test_a_long_range_is_read_in_pages(store):
    for number in range(520):
        store.put(f"many/{number:04d}", str(number))
    listing = store.list("many/")
    assert [entry.key for entry in listing.entries] == [
        f"many/{number:04d}" for number in range(520)
    ]


def test_keys_go_with_their_lease(store):
    lease = store.grant_lease(5)
    store.put("k/leased", "x", lease)
    store.renew_lease(lease)
    store.revoke_lease(lease)
    assert store.get("k/leased") is None
    with pytest.raises(LeaseGoneError):
        store.renew_lease(lease)
    with pytest.raises(LeaseGoneError):
        store.put("k/leased", "x", lease)


def test_a_watch_tells_changes_and_removals_in_order(store):
    revision = store.list("w/").revision
    timer = threading.Timer(0.2, store.put, ("w/late", "x"))
    timer.start()
    changes, after = store.wait_changes("w/", revision)
    assert [(c.key, c.entry.value) for c in changes] == [("w/late", "x")]
    store.delete("w/late", changes[0].revision)
    changes, _ = store.wait_changes("w/", after)
    assert [(c.key, c.entry) for c in changes] == [("w/late", None)]


def test_a_watch_of_a_history_that_is_gone_says_so(store, site):
    store.put("w/old", "x")
    site.switch_store(compact=True)
    with pytest.raises(HistoryGoneError):
        store.wait_changes("w/", 1)


@pytest.mark.parametrize("switch", [{"down": True}, {"rate": 0}])
def test_a_store_that_turns_calls_away_is_unavailable(store, site, switch):
    site.switch_store(**switch)
    with pytest.raises(StoreUnavailableError):
        store.get("k/any")


def test_the_platforms_own_keys_are_not_ours_to_write(store):
    with pytest.raises(StoreUnavailableError):
        store.put("op/config", "{}")


@pytest.mark.parametrize("answer", ['{"Value": "eA=="}', "[]", '{"PrivateKey": "k"}'])
def test_an_item_that_lacks_fields_is_no_answer(answer):
    pools = SimpleNamespace(
        request=lambda *_, **__: SimpleNamespace(status=200, data=answer.encode())
    )
    client = StoreClient(Address("127.0.0.1", 1), Metrics())
    client.pools = pools
    with pytest.raises(StoreUnavailableError):
        client.get("k")
