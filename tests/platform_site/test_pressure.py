"""Callers that read slowly, at an entry box that may hold little.

The load: more large answers than the box may hold, whose callers read nothing. Each is
larger than what the buffers of the system take.
"""

from __future__ import annotations

import contextlib
import socket
import time

import pytest
from conftest_nodes import ROUTES, wait_known

from experiments.node_site import NodeSite
from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until
from standins.raw_target import RawTarget, answer

MAX_HELD_MB = 32
LARGE = b"x" * 6_000_000
SLOW_CALLERS = 12
# Answers are held whole, instead of being passed on as they come.
HELD_WHOLE = ("[answers]", "max_held_kb = 8192")
# What is held of an answer that is passed on, and of one read of a socket.
MAX_START_BYTES = 1_048_576
MAX_READ_BYTES = 65_536
# Below the wait for a caller that reads nothing of a box that is not near its bound.
SLOW_ENDED_SECONDS = 9.0


class SlowCaller(RawCaller):
    """A caller with a small buffer that reads nothing."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.settimeout(20.0)
        self.sock.connect((host, int(port)))
        self.rest = b""


def hang(request, connection):
    request.closed.wait(20)


def respond(request, connection):
    body = LARGE if b"/large" in request.line else b"done"
    connection.sendall(answer(request, body))


@contextlib.contextmanager
def start_site(folder, *entry_settings, max_connections=100, script=respond):
    """Start an entry box with one plain target."""
    with NodeSite(folder) as site:
        site.max_connections = max_connections
        site.start_store()
        site.entry_settings = ["[pressure]", *entry_settings]
        site.start_entry("entry-1", "a")
        # Connections outlast the wait for a slow caller.
        site.configure(ROUTES, MaxBodyBytes=4_000_000, IdleTimeoutMs=60_000)
        site.wait_ready()
        with contextlib.closing(RawTarget(script)) as target:
            target.id = "t-1"
            site.add_target(target.id, "plain", target.address)
            wait_known(site, [target])
            site.target = target
            yield site


@pytest.fixture
def site(tmp_path):
    with start_site(tmp_path, f"max_held_mb = {MAX_HELD_MB}", *HELD_WHOLE) as site:
        yield site


def send_slow_calls(stack, site, count=SLOW_CALLERS):
    address = site.callers["entry-1"]
    callers = [stack.enter_context(SlowCaller(address)) for _ in range(count)]
    for number, caller in enumerate(callers):
        caller.send(build_request(b"/once/large", b"slow-%d" % number, patience=7900))
    return callers


def test_slow_callers_hold_no_more_than_the_bound_and_others_are_served(site):
    entry = site.callers["entry-1"]
    with contextlib.ExitStack() as stack:
        send_slow_calls(stack, site)
        wait_until(
            lambda: site.count("entry-1", "held.reached.near_bound"), "near the bound"
        )
        assert call(entry, b"/once/x", b"other")[::2] == (200, b"done")
        wait_until(
            lambda: site.count("entry-1", "held.slow_callers_ended"),
            "a slow caller is ended",
            SLOW_ENDED_SECONDS,
        )
        assert call(entry, b"/once/x", b"later")[::2] == (200, b"done")
        # The last slow call has ended by its deadline.
        wait_until(
            lambda: call(entry, b"/once/large", b"whole")[::2] == (200, LARGE),
            "a large answer is served",
        )
    assert 0 < site.count("entry-1", "held.peak.answer") <= MAX_HELD_MB * 1_000_000


def test_a_body_that_does_not_fit_is_refused_and_has_not_run(site):
    """Bodies of known length are counted before they come."""
    entry = site.callers["entry-1"]
    head = build_request(b"/once/x", b"held", b"y" * 3_900_000)[:500]
    with contextlib.ExitStack() as stack:
        for _ in range(8):
            stack.enter_context(RawCaller(entry)).send(head)
        wait_until(
            lambda: site.count("entry-1", "held.reached.near_bound"), "near the bound"
        )
        started = time.monotonic()
        caller = stack.enter_context(RawCaller(entry))
        caller.send(build_request(b"/once/x", b"late", b"z" * 3_000_000))
        status, headers, _ = caller.read_answer()
        assert status == 503
        assert 0 < float(headers["retry-after"]) < 1
        assert headers["connection"] == "close"
        assert time.monotonic() - started < 4
        assert call(entry, b"/once/x", b"small", b"s")[0] == 200
    assert [r.header("Attempt-Id") for r in site.target.requests] == ["small"]
    wait_until(
        lambda: call(entry, b"/once/x", b"after", b"z" * 3_900_000)[0] == 200,
        "released with their connections",
    )


def test_slow_callers_of_answers_that_are_passed_on_reach_no_bound(tmp_path):
    with (
        start_site(tmp_path, f"max_held_mb = {MAX_HELD_MB}") as site,
        contextlib.ExitStack() as stack,
    ):
        entry = site.callers["entry-1"]
        send_slow_calls(stack, site)
        wait_until(
            lambda: len(site.target.requests) == SLOW_CALLERS, "all calls are sent"
        )
        assert call(entry, b"/once/large", b"whole")[::2] == (200, LARGE)
        held = site.count("entry-1", "held.peak.answer")
        assert 0 < held <= SLOW_CALLERS * (MAX_START_BYTES + MAX_READ_BYTES)
        assert not site.count("entry-1", "held.reached.near_bound")


def test_at_the_bound_a_call_is_refused_and_its_connection_stays_open(tmp_path):
    # Below one answer: the only one under way reaches the bound.
    with (
        start_site(tmp_path, "max_held_mb = 3", *HELD_WHOLE) as site,
        contextlib.ExitStack() as stack,
    ):
        entry = site.callers["entry-1"]
        send_slow_calls(stack, site, 1)
        wait_until(
            lambda: site.count("entry-1", "held.reached.at_bound"), "at the bound"
        )
        before = len(site.target.requests)
        caller = stack.enter_context(RawCaller(entry))
        caller.send(build_request(b"/once/x", b"refused"))
        status, headers, _ = caller.read_answer()
        assert (status, headers["attempt-id"]) == (503, "refused")
        assert 0 < float(headers["retry-after"]) < 1
        assert len(site.target.requests) == before
        wait_until(
            lambda: site.count("entry-1", "held.slow_callers_ended"),
            "the slow caller is ended",
        )
        caller.send(build_request(b"/once/x", b"served"))
        assert caller.read_answer()[::2] == (200, b"done")


def test_without_a_bound_nothing_is_counted(tmp_path):
    with (
        start_site(tmp_path, "max_held_mb = 0") as site,
        contextlib.ExitStack() as stack,
    ):
        send_slow_calls(stack, site, 12)
        wait_until(lambda: len(site.target.requests) == 12, "all calls are sent")
        assert call(site.callers["entry-1"], b"/once/x", b"other")[0] == 200
        assert site.count("entry-1", "held.peak.answer") == 0
        assert site.count("entry-1", "held.reached.near_bound") == 0


@pytest.mark.parametrize(("is_on", "sent"), [("true", 2), ("false", 3)])
def test_a_box_opens_its_share_of_the_connections_of_a_target(tmp_path, is_on, sent):
    """The only box opens all that a target accepts; a further call has not run."""
    setting = f"share_connections = {is_on}"
    with (
        start_site(tmp_path, setting, max_connections=2, script=hang) as site,
        contextlib.ExitStack() as stack,
    ):
        entry = site.callers["entry-1"]
        callers = [stack.enter_context(RawCaller(entry)) for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.send(build_request(b"/once/x", b"c%d" % number, patience=3000))
            wait_until(
                lambda n=number: len(site.target.requests) >= min(n + 1, sent), "sent"
            )
        assert callers[-1].read_answer()[0] == (503 if sent == 2 else 504)
        assert len(site.target.requests) == sent
        assert bool(site.count("entry-1", "refused.connection_share")) == (sent == 2)
