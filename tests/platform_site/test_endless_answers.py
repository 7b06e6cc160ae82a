"""Targets that send bytes without end stop no box, and others are served."""

from __future__ import annotations

import threading
from pathlib import Path

import pytest
from conftest_nodes import make_route, wait_known

from experiments.node_site import NodeSite
from experiments.raw_caller import RawCaller, build_request, call
from standins.endless_answers import PLAIN_SHAPES, STREAM_SHAPES
from standins.raw_target import RawTarget, answer

ROUTES = [
    make_route("/endless/", "idempotent", "endless"),
    make_route("/stream/", "streaming", "model"),
    make_route("/again/", "idempotent", "plain"),
]
# What a box may use: the smallest one has 150 MB.
MAX_BOX_MB = 120
ENDLESS_CALLERS = 4
MANY_ENDLESS_CALLERS = 64
OTHER_CALLS = 60
PATIENCE_MS = 2500


@pytest.fixture
def site(tmp_path):
    with NodeSite(tmp_path / "nodes") as site:
        site.start_store()
        site.start_entry("entry-1", "a")
        site.configure(ROUTES)
        site.wait_ready()
        yield site


def add_targets(site, service, scripts):
    targets = [RawTarget(script) for script in scripts]
    for number, target in enumerate(targets):
        target.id = f"{service}-{number}"
        site.add_target(target.id, service, target.address)
    wait_known(site, targets)


def read_peak_mb(site, name):
    status = Path(f"/proc/{site.processes[name].popen.pid}/status").read_text()
    line = next(line for line in status.split("\n") if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


class EndlessCaller(threading.Thread):
    """Asks for what has no end; keeps the answers that came whole."""

    def __init__(self, address, path, name):
        super().__init__(daemon=True)
        self.address = address
        self.path = path
        self.name = name
        self.going = True
        self.whole = []

    def run(self):
        number = 0
        while self.going:
            number += 1
            call_id = f"{self.name}-{number}".encode()
            try:
                with RawCaller(self.address) as caller:
                    request = build_request(self.path, call_id, patience=PATIENCE_MS)
                    caller.send(request)
                    self.read_answer(caller)
            except (OSError, AssertionError, ValueError, IndexError):
                continue  # Broken off, as it should be.

    def read_answer(self, caller):
        """Read an answer and keep no more of it than its beginning."""
        head = caller.read_until(b"\r\n\r\n")
        rest = caller.rest
        while len(caller.rest) and caller.receive():
            rest = (rest + caller.take(len(caller.rest)))[-100:]
            caller.rest = b" "
        if b" 200 " in head and rest.endswith(b"0\r\n\r\n"):
            self.whole.append(head)


def ask_others_beside(site, path, count):
    """Have callers ask for what has no end; return how other calls ended meanwhile."""
    entry = site.callers["entry-1"]
    callers = [EndlessCaller(entry, path, f"e{n}") for n in range(count)]
    for caller in callers:
        caller.start()
    try:
        statuses = [
            call(entry, b"/again/x", f"o-{n}".encode(), patience=PATIENCE_MS)[0]
            for n in range(OTHER_CALLS)
        ]
    finally:
        for caller in callers:
            caller.going = False
    return statuses, [head for caller in callers for head in caller.whole]


def check(site, path, count=ENDLESS_CALLERS):
    add_targets(site, "plain", [lambda r, c: c.sendall(answer(r))] * 2)
    statuses, whole = ask_others_beside(site, path, count)
    assert statuses == [200] * OTHER_CALLS
    assert not whole
    assert read_peak_mb(site, "entry-1") < MAX_BOX_MB


@pytest.mark.parametrize("shape", PLAIN_SHAPES)
def test_an_answer_without_end_stops_no_box(site, shape):
    add_targets(site, "endless", [PLAIN_SHAPES[shape]] * 3)
    check(site, b"/endless/x")


@pytest.mark.parametrize("shape", STREAM_SHAPES)
def test_a_stream_without_end_stops_no_box(site, shape):
    add_targets(site, "model", [STREAM_SHAPES[shape]] * 3)
    check(site, b"/stream/x")


@pytest.mark.parametrize(
    "shape", ["chunks", "to_close", "refusal", "headers", "interim"]
)
def test_many_answers_without_end_stop_no_box(site, shape):
    site.max_connections = 100
    add_targets(site, "endless", [PLAIN_SHAPES[shape]] * 3)
    check(site, b"/endless/x", MANY_ENDLESS_CALLERS)


@pytest.mark.parametrize("shape", ["chunks", "event", "data", "headers", "interim"])
def test_many_streams_without_end_stop_no_box(site, shape):
    site.max_connections = 100
    add_targets(site, "model", [STREAM_SHAPES[shape]] * 3)
    check(site, b"/stream/x", MANY_ENDLESS_CALLERS)


@pytest.mark.parametrize("framing", ["length", "chunks", "to_close"])
def test_a_long_proper_answer_arrives_whole(site, framing):
    body = bytes(range(256)) * 4096 * 20

    def respond(request, connection):
        head, _, _ = answer(request, b"").partition(b"Content-Length")
        if framing == "length":
            connection.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        elif framing == "chunks":
            chunk = b"%x\r\n%s\r\n" % (len(body), body)
            connection.sendall(
                head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
            )
        else:
            connection.sendall(head + b"\r\n" + body)
            connection.close()

    add_targets(site, "endless", [respond])
    status, _, received = call(site.callers["entry-1"], b"/endless/x", b"long")
    assert status == 200
    assert received == body
