"""Requests under which the targets that run them end."""

from __future__ import annotations

import itertools

import pytest
from conftest_nodes import ROUTES, wait_known
from turn_callers import take_turn

from experiments.node_site import NodeSite
from experiments.raw_caller import call
from standins.mortal_target import MortalTarget
from standins.raw_target import answer

FATAL = b"fatal"
# After as many targets have ended under a request, it is sent to no other one.
ENDS_ALLOWED = 3
ENTRIES = 4


def respond(request, connection):
    connection.sendall(answer(request))


def is_fatal(request):
    return FATAL in request.body


@pytest.fixture
def site(tmp_path):
    """Entries in two failure domains, without holders."""
    with NodeSite(tmp_path / "nodes") as site:
        site.start_store()
        for number in range(ENTRIES):
            site.start_entry(f"entry-{number}", "ab"[number % 2])
        site.configure(ROUTES)
        site.wait_ready()
        yield site


def add_targets(site, count, service="plain", script=respond):
    targets = [MortalTarget(script, is_fatal) for _ in range(count)]
    for number, target in enumerate(targets):
        target.id = f"m-{number}"
        site.add_target(target.id, service, target.address)
    wait_known(site, targets)
    return targets


def send_attempts(site, body, count, path=b"/again/x"):
    """Send a request as its caller may: each attempt anew, at the next entry."""
    entries = itertools.cycle(site.callers.values())
    attempts = [(next(entries), f"{body.decode()}-{n}".encode()) for n in range(count)]
    return [call(entry, path, call_id, body)[0] for entry, call_id in attempts]


def count_sends(targets):
    return sum(is_fatal(request) for target in targets for request in target.requests)


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
    targets = add_targets(own_nodes, 8, "model")
    entries = itertools.cycle(own_nodes.callers.values())
    for number in range(6):
        status = take_turn(next(entries), f"t-{number}", FATAL, "p")[0]
        assert status >= 500
    assert count_sends(targets) == ENDS_ALLOWED
