"""What a failure domain of entries asks of the store while things change."""

from __future__ import annotations

import pytest
from conftest_nodes import ROUTES, make_route

from experiments.node_site import NodeSite
from experiments.raw_caller import call
from experiments.waiting import wait_until

ENTRIES = [f"entry-{number}" for number in range(5)]
WATCHER, *LISTENERS = ENTRIES
CHANGES = 4


@pytest.fixture
def domain(tmp_path):
    with NodeSite(tmp_path / "nodes") as site:
        site.start_store()
        for name in ENTRIES:
            site.start_entry(name, "a")
        site.configure(ROUTES)
        site.wait_ready()
        for name in LISTENERS:
            wait_until(lambda n=name: site.count(n, "state.heard"), f"{name} listens")
        yield site


def read_counts(site, counter):
    return {name: site.count(name, counter) for name in ENTRIES}


def change(site, prefix):
    """Put a route in force everywhere."""
    site.configure([*ROUTES, make_route(prefix, "idempotent", "plain")])
    path = prefix.encode() + b"x"
    for name in ENTRIES:
        address = site.callers[name]
        wait_until(lambda a=address: call(a, path, b"x")[0] == 503, f"{prefix} {name}")


def test_one_entry_of_a_domain_watches_whatever_changes(domain):
    change(domain, "/first/")
    watches = read_counts(domain, "store.calls.watch")
    lost = read_counts(domain, "state.readers_lost")
    for number in range(CHANGES):
        change(domain, f"/change-{number}/")
    watched = read_counts(domain, "store.calls.watch")
    still_lost = read_counts(domain, "state.readers_lost")
    assert watched[WATCHER] > watches[WATCHER]
    for name in LISTENERS:
        # A box that lost its readers for a moment may look for itself.
        assert watched[name] - watches[name] <= still_lost[name] - lost[name]
    assert set(read_counts(domain, "store.calls.range").values()) == {1}


def test_the_calls_of_a_box_are_told_by_what_they_were_for(domain):
    assert domain.count(WATCHER, "store.calls.lease") == 1
    assert domain.count(WATCHER, "store.calls.txn") == 1
    log = domain.processes[WATCHER].read_log()
    assert '"Calls to the store."' in log
