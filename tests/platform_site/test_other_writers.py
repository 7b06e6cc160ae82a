"""Real boxes beside whatever other writers leave in the store."""

from __future__ import annotations

import base64
import json

import pytest
from conftest_nodes import ROUTES, wait_logged

from experiments.raw_caller import call
from experiments.waiting import wait_until
from standins.raw_target import RawTarget, answer


def respond(request, connection):
    connection.sendall(answer(request))


def encode(content):
    return base64.b64encode(content).decode()


NO_TEXT = encode(b"\xff\xfe\x00\x80")
NO_BASE64 = "%%%"


@pytest.fixture
def target(own_nodes):
    started = RawTarget(respond)
    own_nodes.add_target("t-sound", "plain", started.address)
    wait_logged(own_nodes, "Target is ready.", "t-sound")
    yield started
    started.close()


def write_after(nodes, name):
    """Register a target that every box has to learn of; return it."""
    late = RawTarget(respond)
    nodes.add_target(name, "plain", late.address)
    wait_logged(nodes, "Target is ready.", name)
    return late


@pytest.mark.parametrize("value", [NO_TEXT, NO_BASE64], ids=["no text", "no base64"])
def test_bytes_that_cannot_be_read_end_no_task(own_nodes, target, value):
    own_nodes.write_raw("servers/t-bad", value)
    late = write_after(own_nodes, "t-late")
    address = own_nodes.callers["entry-1"]
    statuses = {call(address, b"/once/x", b"id-%d" % n)[0] for n in range(8)}
    assert statuses == {200}
    late.close()
    for name in own_nodes.callers:
        assert own_nodes.count(name, "store.target_turned_away") >= 1
        assert own_nodes.count(name, "tasks.failed") == 0


@pytest.mark.parametrize("prefix", ["cedarchute/boxes/", "op/other/", "cedarchute/x/"])
def test_bytes_under_other_prefixes_end_no_task(own_nodes, target, prefix):
    for number, value in enumerate([NO_TEXT, NO_BASE64, encode(b"[]")]):
        own_nodes.write_raw(f"{prefix}odd {number}", value)
    write_after(own_nodes, "t-late").close()
    assert call(own_nodes.callers["entry-1"], b"/once/x", b"id-1")[0] == 200


def test_a_configuration_that_cannot_be_read_leaves_the_last_one(own_nodes, target):
    own_nodes.write_raw("op/config", NO_TEXT)
    write_after(own_nodes, "t-late").close()
    assert call(own_nodes.callers["entry-1"], b"/once/x", b"id-1")[0] == 200
    version = own_nodes.configure(ROUTES)
    wait_until(
        lambda: f'"version": {version}' in own_nodes.processes["entry-1"].read_log(),
        "the next configuration is in force",
    )


@pytest.mark.parametrize("slots", [0, -1, True, "8", 10**30])
def test_slots_that_are_none_do_not_touch_the_others(own_nodes, target, slots):
    document = {
        "Service": "plain",
        "Address": "127.0.0.1:9",
        "Zone": "a",
        "Version": "v1",
        "Slots": slots,
        "State": "ready",
        "ColdLeftMs": 0,
        "CallSeq": 1,
    }
    own_nodes.write("servers/t-odd", document)
    write_after(own_nodes, "t-late").close()
    address = own_nodes.callers["entry-1"]
    statuses = {call(address, b"/again/x", b"id-%d" % n)[0] for n in range(8)}
    assert statuses == {200}


def test_an_entry_that_names_a_box_of_ours_gets_no_call(own_nodes, target):
    own_nodes.add_target("t-loop", "plain", own_nodes.callers["entry-2"])
    write_after(own_nodes, "t-late").close()
    address = own_nodes.callers["entry-1"]
    statuses = [call(address, b"/once/x", b"id-%d" % n)[0] for n in range(8)]
    assert statuses == [200] * 8
    log = own_nodes.processes["entry-1"].read_log()
    sent = [json.loads(line) for line in log.splitlines() if '"Call sent."' in line]
    assert "t-loop" not in {line["target"] for line in sent}


def test_an_entry_that_turns_unreadable_gets_nothing_new(own_nodes, target):
    other = write_after(own_nodes, "t-other")
    own_nodes.write_raw("servers/t-sound", NO_TEXT)
    wait_logged(own_nodes, "Target is leaving.", "t-sound")
    before = len(target.requests)
    address = own_nodes.callers["entry-1"]
    statuses = [call(address, b"/once/x", b"id-%d" % n)[0] for n in range(8)]
    assert statuses == [200] * 8
    assert len(target.requests) == before
    other.close()


def test_a_target_that_starts_again_under_its_id_is_another_start(own_nodes, target):
    moved = RawTarget(respond)
    moved.id = "t-sound"
    own_nodes.write_target("t-sound", "plain", moved.address, "ready", born_ms=2000)
    wait_logged(own_nodes, "Target started again.", "t-sound")
    address = own_nodes.callers["entry-1"]
    assert call(address, b"/once/x", b"id-1")[0] == 200
    assert len(moved.requests) == 1
    own_nodes.write_target("t-sound", "plain", target.address, "ready", born_ms=1000)
    wait_logged(own_nodes, "Target's entry deferred.", "t-sound")
    assert call(address, b"/once/x", b"id-2")[0] == 200
    assert len(moved.requests) == 2
    moved.close()
