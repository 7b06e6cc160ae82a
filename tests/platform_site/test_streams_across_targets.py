"""Streams whose target breaks off, through a real entry box that resumes them."""

from __future__ import annotations

import json
import threading

import pytest
from conftest_nodes import make_route, wait_known

from experiments.node_site import NodeSite
from experiments.ports import HOST
from experiments.raw_caller import RawCaller, build_request
from experiments.waiting import wait_until
from standins.raw_target import LAST_CHUNK, RawTarget, chunk, event, reset, stream_head

EVENTS = [event(number, b"word %d" % number) for number in range(4)]
ROUTES = [
    make_route("/resumed/", "streaming", "model", Resumable=True),
    make_route("/stream/", "streaming", "model"),
]


@pytest.fixture
def site(tmp_path):
    """One entry that resumes streams."""
    with NodeSite(tmp_path / "nodes") as site:
        site.start_store()
        for table in (site.callers, site.ready, site.directory):
            table["entry-1"] = f"{HOST}:{site.ports.take()}"
        site.start_box("entry-1", "a", "entry", "[streams]\nresume = true")
        site.configure(ROUTES)
        site.wait_ready()
        yield site


class Targets:
    """Two targets; whichever is asked first breaks off its stream within an event."""

    def __init__(self, site):
        self.runs = []
        self.read = threading.Event()
        self.targets = [RawTarget(self.play) for _ in range(2)]
        for number, target in enumerate(self.targets):
            target.id = f"model-{number}"
            site.add_target(target.id, "model", target.address)
        wait_known(site, self.targets)

    def play(self, request, connection):
        self.runs.append(request)
        connection.sendall(stream_head(request))
        if len(self.runs) > 1:
            connection.sendall(chunk(b"".join(EVENTS[2:])) + LAST_CHUNK)
            return
        connection.sendall(chunk(b"".join(EVENTS[:2]) + EVENTS[2][:7]))
        self.read.wait(30)
        reset(connection)


def read_log(site, message):
    lines = site.processes["entry-1"].read_log().splitlines()
    return [json.loads(line) for line in lines if f'"{message}"' in line]


def test_a_stream_outlives_its_target(site):
    targets = Targets(site)
    with RawCaller(site.callers["entry-1"]) as caller:
        caller.send(build_request(b"/resumed/x", b"sa1", b"ask"))
        begin = caller.read_until(EVENTS[1])
        targets.read.set()
        caller.rest = begin + caller.rest
        status, headers, body = caller.read_answer()
    assert (status, headers["attempt-id"]) == (200, "sa1")
    assert body == b"".join(EVENTS)
    assert [run.header("Last-Event-Id") for run in targets.runs] == [None, "1"]
    assert all(len(target.requests) == 1 for target in targets.targets)
    assert wait_until(lambda: site.count("entry-1", "streams.resumed"), "counted") == 1
    (line,) = read_log(site, "Stream resumed.")
    assert (line["last_event"], line["sends"]) == ("1", 2)
    assert line["outcome"] == "complete"


def test_a_stream_of_a_route_that_does_not_allow_it_ends_with_its_target(site):
    targets = Targets(site)
    with RawCaller(site.callers["entry-1"]) as caller:
        caller.send(build_request(b"/stream/x", b"sb1", b"ask"))
        begin = caller.read_until(EVENTS[1])
        targets.read.set()
        received = begin + caller.read_to_close()
    assert not received.endswith(LAST_CHUNK)
    assert EVENTS[2] not in received
    assert len(targets.runs) == 1
