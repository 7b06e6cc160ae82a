"""Requests under which the targets that run them end."""

from __future__ import annotations

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

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
# Attempts that a caller makes for one request.
ATTEMPTS = 3
RUN_SECONDS = 0.02


def respond(request, connection):
    connection.sendall(answer(request))


def respond_later(request, connection):
    time.sleep(RUN_SECONDS)
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
        end_starts(site)
        yield site


def end_starts(site):
    """Have each entry take a call: boxes ask others what they know at their first."""
    for name, address in site.callers.items():
        assert call(address, b"/again/x", f"first-{name}".encode())[0] == 503


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
    end_starts(own_nodes)
    targets = add_targets(own_nodes, 8, "model")
    entries = itertools.cycle(own_nodes.callers.values())
    for number in range(6):
        status = take_turn(next(entries), f"t-{number}", FATAL, "p")[0]
        assert status >= 500
    assert count_sends(targets) == ENDS_ALLOWED


def ask_until_answered(site, name, body, is_over):
    """Send the same request until `is_over`; return the statuses that ended each."""
    entries = itertools.cycle(site.callers.values())
    results = []
    while not is_over.is_set():
        for attempt in range(ATTEMPTS):
            call_id = f"{name}-{len(results)}-{attempt}".encode()
            status = call(next(entries), b"/again/x", call_id, body)[0]
            if status == 200:
                break
        results.append(status)
    return results


def ask_beside(site, bodies, what):
    """Send each body over and over from a caller of its own while `what` happens."""
    is_over = threading.Event()
    with ThreadPoolExecutor(len(bodies)) as pool:
        tasks = [
            pool.submit(ask_until_answered, site, f"c{number}", body, is_over)
            for number, body in enumerate(bodies)
        ]
        try:
            what()
        finally:
            is_over.set()
        return [status for task in tasks for status in task.result()]


def read_logs(site):
    return "".join(site.processes[name].read_log() for name in site.callers)


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
