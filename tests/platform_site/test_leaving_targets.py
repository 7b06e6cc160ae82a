"""Targets that leave while a box, the store or they themselves stand still."""

from __future__ import annotations

import threading
import time

import pytest
from conftest_nodes import make_route, wait_logged

from experiments.leaving_target import LeavingTarget
from experiments.node_site import NodeSite
from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until

# The users' bound: DrainMs.
LEAVE_SECONDS = 2.0
# A call that may be repeated leaves a silent target after half a second; twice that
# shows it to the whole box.
SILENCE_SECONDS = 1.0
# How long a call to a store under load takes.
STORE_SECONDS = 0.1
LISTENER = "entry-9"
ENTRIES = ("entry-0", "entry-1", LISTENER)
ROUTES = [
    make_route("/once/", "non_idempotent", "plain"),
    make_route("/again/", "idempotent", "plain"),
]


@pytest.fixture
def site(tmp_path):
    """The two readers of a failure domain, and a box that listens to them."""
    with NodeSite(tmp_path / "nodes") as site:
        site.start_store()
        for name in ENTRIES:
            site.start_entry(name, "a")
        site.configure(ROUTES)
        site.wait_ready()
        wait_until(lambda: site.count(LISTENER, "state.heard"), "it listens")
        yield site


@pytest.fixture
def targets(site):
    targets = [LeavingTarget(site, f"t-{number}", "plain") for number in range(2)]
    for target in targets:
        wait_logged(site, "Target is ready.", target.id)
    return targets


class Callers:
    """Call each box all the time, with one request after the other."""

    def __init__(self, site, path, per_box=2):
        self.site = site
        self.path = path
        self.going = True
        self.statuses = []
        self.threads = [
            threading.Thread(target=self.run, args=(box, number), daemon=True)
            for box in site.callers
            for number in range(per_box)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.going = False
        for thread in self.threads:
            thread.join()

    def run(self, box, number):
        count = 0
        while self.going:
            count += 1
            call_id = f"{box}.{number}.{count}".encode()
            try:
                status = call(self.site.callers[box], self.path, call_id)[0]
            except (OSError, AssertionError, ValueError, IndexError):
                status = 0
            self.statuses.append(status)
            time.sleep(0.02)


def assert_nothing_late(target, boxes):
    """Assert that boxes sent nothing later than the bound, and the target read none."""
    until = target.left_at + LEAVE_SECONDS
    assert target.list_sends(boxes, until) == []
    assert target.list_reads(until) == []


def test_a_domain_that_stood_still_sends_nothing_to_a_target_that_left_meanwhile(
    site, targets
):
    leaving = targets[0]
    callers = [RawCaller(site.callers[LISTENER]) for _ in range(40)]
    for name in ENTRIES:
        site.processes[name].pause()
    for number, caller in enumerate(callers):
        caller.send(build_request(b"/once/x", b"waiting-%d" % number))
    leaving.leave()
    time.sleep(LEAVE_SECONDS + 0.2)
    # Its readers stay away, so that it has to ask the store.
    site.switch_store(delay=STORE_SECONDS)
    site.processes[LISTENER].resume()
    statuses = [caller.read_answer()[0] for caller in callers]
    site.switch_store(delay=0.0)
    for name in ENTRIES:
        site.processes[name].resume()
    assert_nothing_late(leaving, ENTRIES)
    assert statuses == [200] * len(callers)


def test_an_entry_that_goes_after_a_short_outage_is_not_used_beyond_the_bound(
    site, targets
):
    leaving = targets[0]
    with Callers(site, b"/once/x") as callers:
        site.switch_store(down=True)
        wait_until(
            lambda: all(
                "Store lost." in site.processes[name].read_log() for name in ENTRIES
            ),
            "each box lost the store",
        )
        site.switch_store(down=False)
        wait_until(
            lambda: all(
                "Store available again." in site.processes[name].read_log()
                for name in ENTRIES
            ),
            "each box has it again",
        )
        leaving.leave(says_so=False)
        time.sleep(LEAVE_SECONDS + 1.0)
    assert_nothing_late(leaving, ENTRIES)
    assert set(callers.statuses) == {200}


def test_a_target_that_leaves_in_a_long_outage_gets_nothing_while_another_is_there(
    site, targets
):
    leaving = targets[0]
    with Callers(site, b"/once/x") as callers:
        site.switch_store(down=True)
        time.sleep(LEAVE_SECONDS + 1.0)
        leaving.leave(says_so=False)
        site.switch_store(down=False)
        for name in ENTRIES:
            log = site.processes[name]
            wait_until(lambda g=log: "entry lapsed" in g.read_log(), "it lapsed")
        known_at = time.time()
        time.sleep(LEAVE_SECONDS)
    assert leaving.list_sends(ENTRIES, known_at) == []
    assert leaving.list_reads(known_at) == []
    assert set(callers.statuses) == {200}


def test_an_entry_of_an_earlier_start_that_leaves_gets_nothing_new(site, targets):
    other, leaving = targets
    started_ms = round(time.time() * 1000)
    site.write_target(leaving.id, "plain", leaving.address, "ready", started_ms)
    wait_logged(site, "Target started again.", leaving.id)
    with Callers(site, b"/once/x") as callers:
        time.sleep(0.3)
        earlier = started_ms - 5000
        site.write_target(leaving.id, "plain", leaving.address, "draining", earlier)
        leaving.left_at = time.time()
        time.sleep(LEAVE_SECONDS + 1.5)
    assert leaving.list_reads()
    assert_nothing_late(leaving, ENTRIES)
    assert set(callers.statuses) == {200}


def test_a_target_that_leaves_and_stands_still_gets_each_call_once(site, targets):
    """What was sent before the box knew is read late; nothing else is."""
    leaving = targets[0]
    with Callers(site, b"/once/x") as callers:
        time.sleep(0.5)
        leaving.process.pause()
        time.sleep(0.2)
        leaving.leave()
        time.sleep(LEAVE_SECONDS + 0.5)
        leaving.process.resume()
        time.sleep(0.5)
    until = leaving.left_at + LEAVE_SECONDS
    assert leaving.list_sends(ENTRIES, until) == []
    sent = {send.call_id for send in leaving.list_sends(ENTRIES)}
    late = leaving.list_reads(until)
    assert late
    assert {read.call_id for read in late} <= sent
    ids = [read.call_id for target in targets for read in target.list_reads()]
    assert len(ids) == len(set(ids))
    assert set(callers.statuses) == {200}


def test_a_target_that_fell_silent_gets_no_further_calls_while_others_answer(
    site, targets
):
    """What waits at it unread could be read at any later time."""
    silent = targets[0]
    with Callers(site, b"/once/x", per_box=8):
        time.sleep(1.0)
        silent.process.pause()
        stopped_at = time.time()
        time.sleep(3.0)
        silent.process.resume()
        resumed_at = time.time()
    sends = silent.list_sends(ENTRIES, stopped_at + SILENCE_SECONDS)
    assert [send for send in sends if send.at < resumed_at] == []
