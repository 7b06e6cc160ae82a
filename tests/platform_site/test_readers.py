"""Boxes that hear of the store from a reader, and lose it."""

from __future__ import annotations

import os
import signal

import pytest
from conftest_nodes import HOST, ROUTES, make_route
from test_odd_entries import encode, list_values, respond

from cedarchute.fleet.reader_choice import READERS_PER_DOMAIN
from experiments.node_site import NodeSite
from experiments.raw_caller import call
from experiments.waiting import wait_until
from standins.raw_target import RawTarget

LISTENER = "entry-9"


@pytest.fixture
def domain(tmp_path):
    """Entry boxes of one failure domain: its readers, and one that listens."""
    with NodeSite(tmp_path / "nodes") as site:
        site.start_store()
        for number in range(READERS_PER_DOMAIN):
            site.start_entry(f"entry-{number}", "a")
        site.start_entry(LISTENER, "a")
        site.configure(ROUTES)
        site.wait_ready()
        wait_until(lambda: site.count(LISTENER, "state.heard"), "it listens")
        yield site


def wait_in_force(site, prefix):
    site.configure([*ROUTES, make_route(prefix, "idempotent", "plain")])

    def is_known():
        path = prefix.encode() + b"x"
        return call(site.callers[LISTENER], path, b"x")[0] == 503

    wait_until(is_known, f"{prefix} of {HOST} is in force")


def test_a_listener_hears_of_changes_without_watching_the_store(domain):
    wait_in_force(domain, "/new/")
    assert domain.count(LISTENER, "state.readers_lost") == 0


@pytest.mark.parametrize("number", [signal.SIGSTOP, signal.SIGKILL])
def test_a_listener_that_lost_its_reader_reads_the_store(domain, number):
    for reader in range(READERS_PER_DOMAIN):
        os.kill(domain.processes[f"entry-{reader}"].pid, number)
    wait_in_force(domain, "/after/")
    assert domain.count(LISTENER, "state.readers_lost") > 0


# LOST: odd entries of other writers, heard from a reader and then read from the store.
@pytest.mark.parametrize("number", [signal.SIGSTOP, signal.SIGKILL])
def test_odd_entries_beside_a_lost_reader_stop_no_listener(domain, number):
    values = list(list_values())
    prefixes = ("servers/", "cedarchute/boxes/", "op/retire/")
    for count, value in enumerate(values[::2]):
        for prefix in prefixes:
            domain.write_raw(f"{prefix}odd-{count}", encode(value))
    wait_in_force(domain, "/before/")
    for reader in range(READERS_PER_DOMAIN):
        os.kill(domain.processes[f"entry-{reader}"].pid, number)
    for count, value in enumerate(values[1::2]):
        for prefix in prefixes:
            domain.write_raw(f"{prefix}late-{count}", encode(value))
    target = RawTarget(respond)
    domain.add_target("t-late", "plain", target.address)
    listener = domain.processes[LISTENER]

    def is_known():
        lines = [x for x in listener.read_log().split("\n") if '"t-late"' in x]
        return any("Target is ready." in line for line in lines)

    wait_until(is_known, "the target is known")
    assert call(domain.callers[LISTENER], b"/again/x", b"oe-1")[0] == 200
    assert listener.is_running
    assert domain.count(LISTENER, "tasks.failed") == 0
    target.close()
