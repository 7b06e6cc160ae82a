"""Real boxes beside entries of other writers that no reader of ours expects."""

from __future__ import annotations

import base64
import json

import pytest
from conftest_nodes import wait_logged

from experiments.raw_caller import call
from experiments.waiting import wait_until
from standins.raw_target import RawTarget, answer

DEPTH = 100_000
DIGITS = "9" * 5_000
# Odd values of one field of an entry, as JSON.
FIELDS = {
    "Address": ['"127.0.0.1:70000"', '"127.0.0.1:-1"', '"127.0.0.1:0"',
                f'"127.0.0.1:{DIGITS}"', '"127.0.0.1:\u0668\u0660"', '":80"', "7",
                '"255.255.255.255:80"', '"no.name.example:80"', '"\\ud800:80"'],
    "Slots": [DIGITS, "1e400", "NaN", "1.5", "-0", "null", f"1e{DIGITS}"],
    "ColdLeftMs": [DIGITS, "1e400", "-1", "Infinity", '"1"'],
    "CallSeq": ["[" * DEPTH + "]" * DEPTH, DIGITS, "{}"],
    "born": [DIGITS, "-1", "1e400"],
    "Zone": ["[" * 9_000 + "]" * 9_000, "null", "7"],
    "Other": ['{"a":' * DEPTH + "1" + "}" * DEPTH, '"' + "x" * 900_000 + '"'],
}  # fmt: skip
WHOLE = ["", "\x00", "[", "null", DIGITS, "[" * DEPTH, '{"a":' * DEPTH, '"\ud800"']


def encode(text):
    return base64.b64encode(text.encode("utf-8", "surrogatepass")).decode()


def list_values():
    """Return entries, each with one field that is odd, and some that are none."""
    fields = {
        "Service": '"plain"',
        "Address": '"127.0.0.1:9"',
        "Zone": '"a"',
        "Version": '"v1"',
        "Slots": "4",
        "State": '"draining"',
        "ColdLeftMs": "0",
        "CallSeq": "1",
    }
    for name, values in FIELDS.items():
        for value in values:
            rows = {**fields, name: value}
            yield "{" + ",".join(f'"{k}":{v}' for k, v in rows.items()) + "}"
    yield from WHOLE


def respond(request, connection):
    connection.sendall(answer(request))


def check_service(nodes, name):
    """Check that every process lives, and that a new target and a new box serve."""
    with_target = RawTarget(respond)
    nodes.add_target(name, "plain", with_target.address)
    wait_logged(nodes, "Target is ready.", name)
    nodes.start_entry("entry-3", "c")
    wait_until(
        lambda: nodes.answers(nodes.ready["entry-3"], "/readyz"),
        "the new box is ready",
    )
    for entry, address in nodes.callers.items():
        statuses = {call(address, b"/again/x", b"oe-%d" % n)[0] for n in range(8)}
        assert statuses == {200}, entry
    for box in nodes.processes:
        assert nodes.processes[box].is_running, box
    for entry in nodes.callers:
        assert nodes.count(entry, "tasks.failed") == 0
    with_target.close()


# LOST: one odd entry among those of the targets ended the boxes that read the list, or
# stopped their following it.
@pytest.mark.parametrize("prefix", ["servers/", "cedarchute/boxes/", "op/retire/"])
def test_an_odd_entry_ends_no_box_and_stops_no_following(own_nodes, prefix):
    for number, value in enumerate(list_values()):
        own_nodes.write_raw(f"{prefix}odd-{number}", encode(value))
    check_service(own_nodes, "t-late")


# LOST: the same where the list is read anew, after the store was away.
def test_odd_entries_are_passed_over_when_the_store_comes_back(own_nodes):
    for number, value in enumerate(list_values()):
        own_nodes.write_raw(f"servers/odd-{number}", encode(value))
    own_nodes.processes["store"].pause()
    wait_until(
        lambda: "Store lost." in own_nodes.processes["entry-1"].read_log(),
        "the store is lost",
    )
    own_nodes.processes["store"].resume()
    check_service(own_nodes, "t-late")


# LOST: a seat table with a version that no other would ever exceed kept every later one
# out.
@pytest.mark.parametrize(
    "odd",
    [
        {"version": 10**40},
        {"version": 2**62},
        {"losses": 10**40},
        {"losses": -1},
        {"version": -1},
        {"seats": [[]] * 3},
    ],
    ids=str,
)
def test_an_odd_seat_table_is_not_used(own_nodes, odd):
    table = json.loads(own_nodes.read("cedarchute/seats"))
    following = {**table, "version": table["version"] + 1}
    own_nodes.write("cedarchute/seats", {**following, **odd})
    check_service(own_nodes, "t-late")
    for name in own_nodes.callers:
        log = own_nodes.processes[name].read_log()
        updates = [line for line in log.splitlines() if "Seat table updated." in line]
        versions = [json.loads(line)["version"] for line in updates]
        assert max(versions, default=0) <= table["version"], name
