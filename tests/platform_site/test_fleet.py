"""Configuration, draining targets, planned stops and boxes cut from the store."""

from __future__ import annotations

import json
import os
import signal
import threading
import time

from conftest_nodes import ROUTES, make_route, wait_known

from cedarchute.decisions.key_trust import UNKNOWN_AGE_SECONDS
from experiments.node_site import NodeSite
from experiments.ports import find_free_port
from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until
from standins.raw_target import LAST_CHUNK, RawTarget, answer, chunk, event, stream_head

# Targets report each 1.2 s; their entries lapse after three reports that were missed.
LAPSE_SECONDS = 2.4


def respond(request, connection):
    connection.sendall(answer(request))


def add_target(site, script, service="plain", name="t-1"):
    target = RawTarget(script)
    target.id = name
    site.add_target(name, service, target.address)
    wait_known(site, [target])
    return target


def tells_of(log, key):
    """Whether a log says that the entry under a key is not used."""
    lines = [line for line in log.splitlines() if '"Entry not used."' in line]
    return any(f'"{key}"' in line for line in lines)


def read_status(site, entry, path, call_id=b"x"):
    return call(site.callers[entry], path, call_id)[0]


def test_before_the_first_configuration_calls_are_told_to_come_back(tmp_path):
    with NodeSite(tmp_path / "nodes") as site:
        site.start_store()
        site.start_entry("entry-1", "a")
        wait_until(lambda: site.answers(site.peers["entry-1"], "/metrics"), "it runs")
        assert not site.answers(site.ready["entry-1"], "/readyz")
        status, headers, _ = call(site.callers["entry-1"], b"/once/x", b"a")
        assert status == 503
        assert float(headers["retry-after"]) > 0


def test_a_refused_path_tells_how_old_the_configuration_is(own_nodes):
    site = own_nodes
    log = site.processes["entry-2"]

    def tells_age():
        read_status(site, "entry-2", b"/nowhere/x")
        lines = [json.loads(s) for s in log.read_log().splitlines() if "no route" in s]
        return any(line["proof_age"] < UNKNOWN_AGE_SECONDS for line in lines)

    wait_until(tells_age, "a box without keys has a proof as well")


def test_a_new_configuration_is_in_force_everywhere_and_an_old_one_is_not(own_nodes):
    site = own_nodes
    add_target(site, respond)
    assert read_status(site, "entry-1", b"/new/x") == 404
    site.configure([*ROUTES[1:], make_route("/new/", "idempotent", "plain")])
    for entry in site.callers:
        wait_until(lambda e=entry: read_status(site, e, b"/new/x") == 200, "new route")
        assert read_status(site, entry, b"/once/x") == 404
    site.version -= 3
    site.configure(ROUTES)
    site.version += 3
    site.write("op/config", {"Version": "nonsense"})
    for entry in site.callers:
        log = site.processes[entry]
        wait_until(lambda g=log: tells_of(g.read_log(), "op/config"), "told")
        assert read_status(site, entry, b"/new/x") == 200


def test_a_split_route_leads_to_both_services(own_nodes):
    site = own_nodes
    targets = [
        add_target(site, respond, "plain", "t-1"),
        add_target(site, respond, "model", "t-2"),
    ]
    split = make_route("/split/", "idempotent", None)
    split["Split"] = [
        {"Service": "plain", "Weight": 50},
        {"Service": "model", "Weight": 50},
    ]
    del split["Service"]
    site.configure([split, *ROUTES])
    wait_until(lambda: read_status(site, "entry-1", b"/split/x") == 200, "in force")
    for _ in range(40):
        assert read_status(site, "entry-1", b"/split/x") == 200
    assert all(target.requests for target in targets)


def test_the_longest_prefix_takes_a_call(own_nodes):
    site = own_nodes
    short = add_target(site, respond, "plain", "t-1")
    long = add_target(site, respond, "model", "t-2")
    site.configure([*ROUTES, make_route("/again/deep/", "idempotent", "model")])
    wait_until(
        lambda: read_status(site, "entry-1", b"/again/deep/x") == 200 and long.requests,
        "in force",
    )
    before = len(short.requests)
    assert read_status(site, "entry-1", b"/again/deep/er/x") == 200
    assert len(short.requests) == before


def test_a_leaving_target_gets_nothing_new(own_nodes):
    site = own_nodes
    leaving = add_target(site, respond, "plain", "t-1")
    staying = add_target(site, respond, "plain", "t-2")
    site.write_target("t-1", "plain", leaving.address, "draining")
    for entry in site.callers:
        log = site.processes[entry]
        wait_until(lambda g=log: "Target is leaving." in g.read_log(), "it is told")
    before = len(leaving.requests)
    for number in range(20):
        assert read_status(site, "entry-1", b"/once/x", b"l%d" % number) == 200
    assert len(leaving.requests) == before
    assert len(staying.requests) >= 20


def test_targets_whose_entries_lapse_with_the_store_are_used_on(own_nodes):
    site = own_nodes
    target = add_target(site, respond)
    site.switch_store(down=True)
    log = site.processes["entry-1"]
    wait_until(lambda: "Store lost." in log.read_log(), "the store is lost")
    # No entry of a target that lives lapses sooner.
    time.sleep(LAPSE_SECONDS)
    site.remove("servers/t-1")
    site.switch_store(down=False)
    wait_until(lambda: "entry lapsed" in log.read_log(), "the entry lapsed")
    assert read_status(site, "entry-1", b"/once/x") == 200
    wait_until(lambda: "Target is gone." in log.read_log(), "it did not come back")
    assert read_status(site, "entry-1", b"/once/x") == 503
    assert len(target.requests) == 1


def test_a_box_turned_away_by_the_store_hears_from_the_others(tmp_path):
    with NodeSite(tmp_path / "nodes") as site:
        site.start_store()
        site.start_entry("entry-1", "a")
        nowhere = f"127.0.0.1:{find_free_port()}"
        site.start_entry("entry-2", "b", store=nowhere)
        site.configure(ROUTES)
        site.wait_ready()
        add_target(site, respond)
        site.configure([make_route("/new/", "idempotent", "plain")])
        wait_until(lambda: read_status(site, "entry-2", b"/new/x") == 200, "heard")
        assert read_status(site, "entry-2", b"/once/x") == 404


def test_changes_are_seen_after_the_store_forgot_its_history(own_nodes):
    site = own_nodes
    add_target(site, respond)
    site.switch_store(down=True)
    log = site.processes["entry-1"]
    wait_until(lambda: "Store lost." in log.read_log(), "the store is lost")
    site.configure([make_route("/new/", "idempotent", "plain")])
    site.switch_store(down=False, compact=True)
    wait_until(lambda: read_status(site, "entry-1", b"/new/x") == 200, "it is seen")


def test_callers_are_sent_to_boxes_of_their_domain_and_not_to_one_that_stops(own_nodes):
    site = own_nodes
    site.start_entry("entry-3", "a")
    site.wait_ready()

    def resolve(domain):
        path = f"/resolve?Name=site.example&Region=region&Zone={domain}"
        reply = site.http.request("GET", site.directory["entry-2"], path)
        return set(reply.document["Addresses"])

    in_domain = {site.callers["entry-1"], site.callers["entry-3"]}
    wait_until(lambda: resolve("a") == in_domain, "both of the domain")
    assert resolve("b") == set(site.callers.values())
    site.processes["entry-3"].terminate()
    others = {site.callers["entry-1"], site.callers["entry-2"]}
    wait_until(lambda: resolve("a") == others, "the others")


def test_a_planned_stop_cuts_nothing_off(own_nodes):
    site = own_nodes
    go_on = threading.Event()

    def slow(request, connection):
        connection.sendall(stream_head(request) + chunk(event(0, b"one")))
        go_on.wait(20)
        connection.sendall(chunk(event(1, b"two")) + LAST_CHUNK)

    add_target(site, slow, "model", "t-1")
    add_target(site, respond, "plain", "t-2")
    with (
        RawCaller(site.callers["entry-1"]) as busy,
        RawCaller(site.callers["entry-1"]) as idle,
    ):
        idle.send(build_request(b"/once/x", b"i1"))
        assert idle.read_answer()[1].get("connection") is None
        busy.send(build_request(b"/stream/x", b"s1"))
        busy.read_until(b"one\n\n")
        site.processes["entry-1"].terminate()
        wait_until(
            lambda: not site.answers(site.ready["entry-1"], "/readyz"), "not ready"
        )
        idle.send(build_request(b"/once/x", b"i2"))
        status, headers, _ = idle.read_answer()
        assert (status, headers["connection"]) == (200, "close")
        assert read_status(site, "entry-1", b"/once/x", b"late") == 200
        go_on.set()
        assert b"data: two" in busy.read_until(b"0\r\n\r\n")
    assert site.processes["entry-1"].wait() == 0


def test_a_changed_settings_file_is_no_reason_to_end(own_nodes):
    site = own_nodes
    process = site.processes["entry-1"]
    os.kill(process.pid, signal.SIGHUP)
    wait_until(lambda: "Settings changed" in process.read_log(), "it is told")
    assert process.is_running


def test_the_log_tells_the_way_of_a_call(own_nodes):
    site = own_nodes
    add_target(site, respond)
    assert read_status(site, "entry-1", b"/once/x", b"told") == 200

    def read_lines():
        log = site.processes["entry-1"].read_log()
        lines = [json.loads(line) for line in log.split("\n") if line.startswith("{")]
        return [line for line in lines if line.get("request_id") == "told"]

    wait_until(lambda: len(read_lines()) == 2, "both lines are there")
    sent, answered = read_lines()
    assert (sent["message"], sent["target"]) == ("Call sent.", "t-1")
    assert (answered["message"], answered["status"]) == ("Call answered.", 200)
    assert answered["route"] == "r-once"
