"""The log line that says how a request ended."""

from __future__ import annotations

import json

from turn_callers import turn_headers

from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until
from standins.raw_target import answer, chunk, event, reset, stream_head

ENDS = ("Call answered.", "Call given up.", "Caller disconnected.")


def read_ends(nodes, call_id):
    """Return the lines of entry-1 that say how a request ended."""
    lines = nodes.processes["entry-1"].read_log().splitlines()
    records = [json.loads(line) for line in lines if f'"{call_id}"' in line]
    return [
        record
        for record in records
        if record["message"] in ENDS and record["request_id"] == call_id
    ]


def wait_end(nodes, call_id):
    """Return the one line that says how a request ended."""
    wait_until(lambda: read_ends(nodes, call_id), f"{call_id} has ended")
    (end,) = read_ends(nodes, call_id)
    return end


def test_a_caller_that_left_is_told_apart_from_a_response_cut_short(nodes, serve):
    def hang(request, connection):
        request.closed.wait(30)

    def cut(request, connection):
        connection.sendall(stream_head(request) + chunk(event(0, b"one")))
        reset(connection)

    target = serve("plain", hang)
    serve("model", cut)
    before = nodes.count("entry-1", "calls.broken_off")
    with RawCaller(nodes.callers["entry-1"]) as caller:
        caller.send(build_request(b"/once/x", b"ra1"))
        wait_until(lambda: target.requests, "the call arrives")
    left = wait_end(nodes, "ra1")
    assert (left["message"], left["sends"]) == ("Caller disconnected.", 1)
    assert left["why"]
    with RawCaller(nodes.callers["entry-1"]) as caller:
        headers = turn_headers("ra")
        caller.send(build_request(b"/turn/x", b"ra2", b"a", headers=headers))
        caller.read_to_close()
    broken = wait_end(nodes, "ra2")
    assert (broken["message"], broken["broken_off"]) == ("Call given up.", True)
    assert broken["sends"] == 1
    assert nodes.count("entry-1", "calls.broken_off") == before + 1


def test_a_refused_call_says_whether_a_target_got_it(nodes, serve, entry):
    serve("plain", lambda r, c: reset(c))
    assert call(entry, b"/none/x", b"rb1")[0] == 404
    assert call(entry, b"/once/x", b"rb2")[0] == 502
    assert [wait_end(nodes, name)["sends"] for name in ("rb1", "rb2")] == [0, 1]


def test_an_answered_call_leaves_one_line(nodes, serve, entry):
    serve("plain", lambda r, c: c.sendall(answer(r)))
    assert call(entry, b"/once/x", b"rc1")[0] == 200
    assert wait_end(nodes, "rc1")["message"] == "Call answered."
