"""Requests under which the targets that run them end."""

from __future__ import annotations

import itertools
import time

import pytest
from fatal_site import (
    ENDS_ALLOWED,
    ENTRIES,
    FATAL,
    add_targets,
    ask_beside,
    count_sends,
    end_starts,
    read_logs,
    respond_later,
    send_attempts,
    start_entries,
)
from turn_callers import take_turn


@pytest.fixture
def site(tmp_path):
    with start_entries(tmp_path / "nodes") as site:
        yield site


def test_a_request_that_ended_three_targets_is_sent_to_no_other(site):
    targets = add_targets(site, 10)
    statuses = send_attempts(site, FATAL, 4)
    assert not {200, 404} & set(statuses)
    assert count_sends(targets) == ENDS_ALLOWED


def test_a_request_is_counted_across_a_restart_of_the_box_that_comes_next(site):
    targets = add_targets(site, 10)
    assert send_attempts(site, FATAL, 2) == [502, 502]
    for name in list(site.callers)[2:]:
        site.kill(name)
        site.restart(name)
    site.wait_ready()
    send_attempts(site, FATAL, ENTRIES)
    assert count_sends(targets) == ENDS_ALLOWED


def test_a_turn_that_ended_three_targets_is_sent_to_no_other(own_nodes):
    end_starts(own_nodes)
    targets = add_targets(own_nodes, 8, "model")
    entries = itertools.cycle(own_nodes.callers.values())
    for number in range(6):
        status = take_turn(next(entries), f"t-{number}", FATAL, "p")[0]
        assert status >= 500
    assert count_sends(targets) == ENDS_ALLOWED


@pytest.mark.parametrize(
    "bodies", [[b"same"] * 4, [b"a", b"b", b"c", b"d"]], ids=["one", "several"]
)
def test_requests_on_targets_that_crash_by_themselves_are_all_served(site, bodies):
    targets = add_targets(site, 16, script=respond_later)

    def crash_one_after_the_other():
        for target in targets[:12]:
            time.sleep(0.1)
            target.end()

    statuses = ask_beside(site, bodies, crash_one_after_the_other)
    assert statuses
    assert set(statuses) == {200}
    assert "Target crashed under a call." in read_logs(site)
    assert "targets crashed under this request" not in read_logs(site)


def test_requests_on_a_failure_domain_that_goes_dark_are_all_served(site):
    targets = add_targets(site, 12, script=respond_later)

    def crash_together():
        for group in (targets[:4], targets[4:8]):
            time.sleep(0.3)
            for target in group:
                target.end()
        time.sleep(0.3)

    statuses = ask_beside(site, [b"same"] * 8, crash_together)
    assert set(statuses) == {200}
    assert "targets crashed under this request" not in read_logs(site)


def test_requests_beside_one_that_ends_targets_are_served(site):
    targets = add_targets(site, 10, script=respond_later)

    def send_fatal():
        time.sleep(0.2)
        assert 200 not in send_attempts(site, FATAL, 2 * ENTRIES)
        time.sleep(0.2)

    statuses = ask_beside(site, [b"a", b"a", b"b", b"c"], send_fatal)
    assert set(statuses) == {200}
    assert count_sends(targets) == ENDS_ALLOWED
