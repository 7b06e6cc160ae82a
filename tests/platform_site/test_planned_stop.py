"""Planned stops of a real entry box whose callers know no other."""

from __future__ import annotations

import threading

import pytest
from conftest_nodes import ROUTES, wait_known

from experiments.node_site import NodeSite
from experiments.ports import HOST
from experiments.raw_caller import RawCaller, build_request
from experiments.waiting import wait_until
from standins.raw_target import LAST_CHUNK, RawTarget, chunk, event, stream_head

GRACE = "[stop]\ngrace_seconds = 3"


def hang(request, connection):
    request.closed.wait(30)


def stream_without_end(request, connection):
    connection.sendall(stream_head(request) + chunk(event(1, b"one")))
    request.closed.wait(30)


@pytest.fixture
def site(tmp_path):
    """One entry with a short grace."""
    with NodeSite(tmp_path / "nodes") as site:
        site.start_store()
        for table in (site.callers, site.ready, site.directory):
            table["entry-1"] = f"{HOST}:{site.ports.take()}"
        site.start_box("entry-1", "a", "entry", GRACE)
        site.configure(ROUTES)
        site.wait_ready()
        yield site


def add_target(site, service, script):
    target = RawTarget(script)
    target.id = f"{service}-1"
    site.add_target(target.id, service, target.address)
    wait_known(site, [target])
    return target


def test_a_call_whose_target_is_silent_until_the_end_is_answered(site):
    target = add_target(site, "plain", hang)
    process = site.processes["entry-1"]
    with RawCaller(site.callers["entry-1"]) as caller:
        caller.send(build_request(b"/once/x", b"s1", b"a", patience=20_000))
        wait_until(lambda: target.requests, "the target has the request")
        process.terminate()
        status, headers, _ = caller.read_answer()
    assert (status, headers["connection"]) == (504, "close")
    assert process.wait() == 0


def test_a_stream_that_the_end_cuts_off_is_in_the_log(site):
    target = add_target(site, "model", stream_without_end)
    process = site.processes["entry-1"]
    with RawCaller(site.callers["entry-1"]) as caller:
        caller.send(build_request(b"/stream/x", b"s2", b"a", patience=20_000))
        wait_until(lambda: target.requests, "the target has the request")
        process.terminate()
        received = caller.read_to_close()
    assert b"data: one" in received
    assert not received.endswith(b"0\r\n\r\n")
    assert process.wait() == 0
    lines = process.read_log().splitlines()
    assert any("Call given up." in line and '"s2"' in line for line in lines)
    assert any("Stopped." in line and '"cut": 1' in line for line in lines)


def test_a_request_behind_a_stream_that_closes_its_connection_is_answered(site):
    finish = threading.Event()

    def stream(request, connection):
        connection.sendall(stream_head(request) + chunk(event(1, b"one")))
        finish.wait(30)
        connection.sendall(LAST_CHUNK)

    target = add_target(site, "model", stream)
    process = site.processes["entry-1"]
    process.terminate()
    with RawCaller(site.callers["entry-1"]) as caller:
        wait_until(lambda: "Planned stop." in process.read_log(), "the stop began")
        caller.send(build_request(b"/stream/x", b"s3", b"a"))
        assert b"Connection: close" in caller.read_until(b"\r\n\r\n")
        caller.send(build_request(b"/stream/x", b"s4", b"a"))
        finish.set()
        caller.read_chunks()
        status, headers, _ = caller.read_answer()
    assert (status, headers["attempt-id"]) == (503, "s4")
    assert len(target.requests) == 1
    assert process.wait() == 0
