"""Requests that end no target are served, whatever becomes of their targets."""

from __future__ import annotations

import itertools
import random
import threading
import time

import pytest
from conftest_nodes import wait_known
from fatal_site import add_targets, ask_beside, read_logs, respond_later, start_entries

from standins.ending import Ending
from standins.pausing_target import PausingTarget
from standins.raw_target import reset

BODIES = [b"same"] * 4 + [b"a", b"b", b"c", b"d"]
RESET_SHARE = 0.3


@pytest.fixture
def site(tmp_path):
    with start_entries(tmp_path / "nodes") as site:
        yield site


def list_refusals(site):
    """Return the log lines of calls that were refused for their targets' ends."""
    text = "targets crashed under this request"
    return [line for line in read_logs(site).split("\n") if text in line]


def check_served(site, statuses):
    assert statuses
    assert set(statuses) == {200}
    assert not list_refusals(site)


@pytest.mark.parametrize("ending", Ending)
def test_requests_on_targets_that_end_by_themselves_are_all_served(site, ending):
    targets = add_targets(site, 16, script=respond_later, ending=ending)

    def end_one_after_the_other():
        for target in targets[:8]:
            time.sleep(0.3)
            target.end()
            site.remove(f"servers/{target.id}")
        time.sleep(0.5)

    check_served(site, ask_beside(site, BODIES, end_one_after_the_other))


@pytest.mark.parametrize("ending", [Ending.DARK, Ending.FRONTED, Ending.REBORN])
def test_requests_on_a_domain_that_ends_unseen_are_all_served(site, ending):
    targets = add_targets(site, 12, script=respond_later, ending=ending)

    def end_together():
        time.sleep(0.5)
        for target in targets[:4]:
            target.end()
        time.sleep(1.5)

    check_served(site, ask_beside(site, BODIES, end_together))


def test_requests_on_targets_that_stand_still_and_go_on_are_all_served(site):
    targets = [PausingTarget(respond_later) for _ in range(12)]
    for number, target in enumerate(targets):
        target.id = f"p-{number}"
        site.add_target(target.id, "plain", target.address)
    wait_known(site, targets)

    def pause_in_turn():
        for group in (targets[:4], targets[4:8], targets[8:]):
            time.sleep(0.3)
            for target in group:
                target.is_going.clear()
            time.sleep(1.0)
            for target in group:
                target.is_going.set()

    check_served(site, ask_beside(site, BODIES, pause_in_turn))


def test_requests_on_targets_that_reset_calls_are_not_refused(site):
    chance, lock, numbers = random.Random(1), threading.Lock(), itertools.count()

    def reset_some(request, connection):
        with lock:
            next(numbers)
            is_reset = chance.random() < RESET_SHARE
        if is_reset:
            reset(connection)
            return
        respond_later(request, connection)

    add_targets(site, 8, script=reset_some)
    statuses = ask_beside(site, BODIES, lambda: time.sleep(4))
    # All sends of a request may be reset, which is one in some 1,400.
    assert statuses.count(200) > 0.9 * len(statuses)
    assert next(numbers) > len(statuses)
    assert not list_refusals(site)
