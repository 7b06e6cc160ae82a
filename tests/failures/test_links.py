"""Cuts and slow links between processes, one link at a time."""

from __future__ import annotations

import pytest
from support import Background, count_ran, make_messages, open_at, start_site

from experiments.caller import Caller
from experiments.waiting import wait_until


@pytest.fixture
def linked_site(tmp_path):
    """Four boxes; box-1 and box-2 stand behind links."""
    with start_site(tmp_path / "run", boxes=4, linked=("box-1", "box-2")) as started:
        yield started


def count_takeovers(site, unreachable=""):
    boxes = [name for name in site.peers if name != unreachable]
    return sum(site.counter(name, "takeover.won") for name in boxes)


def test_a_box_cut_from_the_store_keeps_its_programs_and_hears_of_files(linked_site):
    site = linked_site
    program, caller = open_at(site, "box-1")
    site.switch_link("box-1-store", cut=True)
    path = "/kv-range?PathPrefix=cedarchute/boxes/"
    registered = "cedarchute/boxes/box-1"

    def is_lapsed():
        # In the store: boxes that hear it by heartbeats go on to count it.
        found = site.http.get(site.store, path)["items"]
        return registered not in [item["PrivateKey"] for item in found]

    wait_until(is_lapsed, "its lease has lapsed")
    text = site.site_text(latency_weight=0.9)
    document = {"operation": "o2", "operator": "sita", "base": 1, "text": text}
    reply = site.http.request("PUT", site.peers["box-3"], "/operators/file", document)
    assert reply.status == 200, reply.document
    site.wait_in_force(2)
    for key in ("one", "two"):
        reply = caller.call(program, key, service="transfer", body={"seconds": 0})
        assert reply.document["verdict"] == "ran"
        assert count_ran(site, "transfer-1", program, key) == 1
    assert count_takeovers(site) == 0
    wait_until(
        lambda: site.counter("box-1", "membership.renewal_failed"),
        "it knows that its lease is not renewed",
    )
    site.switch_link("box-1-store", cut=False)
    wait_until(lambda: not is_lapsed(), "it is registered again")


def test_a_home_that_others_cannot_reach_runs_a_call_once(linked_site):
    site = linked_site
    program, _ = open_at(site, "box-1")
    entries = [site.callers["box-3"], site.callers["box-4"]]
    body = {"seconds": 1}
    calling = Background(
        Caller(entries).call, program, "pay", service="transfer", body=body
    )
    wait_until(lambda: count_ran(site, "transfer-1", program, "pay"), "sent")
    site.switch_link("box-1-peer", cut=True)
    # It reaches its holders, so it goes on for callers that reach it.
    address = site.callers["box-1"]
    direct = site.http.request(
        "POST",
        address,
        f"/v1/programs/{program}/calls",
        {"service": "transfer", "body": body},
        {"Idempotency-Key": "pay"},
    )
    assert direct.document["verdict"] == "ran"
    site.switch_link("box-1-peer", cut=False)
    assert calling.get().document == direct.document
    assert count_ran(site, "transfer-1", program, "pay") == 1


def test_a_holder_behind_a_cut_link_costs_no_call(linked_site):
    site = linked_site
    home = find_home_held_by(site, "box-2")
    program = Caller([site.callers[home]]).open_here(site.callers[home])
    site.switch_link("box-2-peer", cut=True)
    for number in range(3):
        reply = site.http.request(
            "POST",
            site.callers[home],
            f"/v1/programs/{program}/calls",
            {"service": "transfer", "body": {"seconds": 0}},
            {"Idempotency-Key": f"k{number}"},
        )
        assert reply.document["verdict"] == "ran", reply.document
    assert site.counter(home, "copies.spare_asked") > 0
    assert count_takeovers(site, unreachable="box-2") == 0


def find_home_held_by(site, name):
    """Return a box that has `name` among its two preferred holders."""
    site.wait_held(spare=1)
    for record in site.read_partitions():
        owner = record["owner"].partition(".")[0]
        preferred = [holder.partition(".")[0] for holder in record["holders"][:2]]
        if name in preferred:
            return owner
    raise AssertionError(f"nobody has {name} as a holder")


def test_a_stream_over_a_slow_link_is_whole_and_in_order(linked_site):
    site = linked_site
    program, _ = open_at(site, "box-1")
    site.switch_link("box-1-peer", delay_seconds=0.1)
    site.switch_link("box-1-store", delay_seconds=0.1)
    caller = Caller([site.callers["box-3"]])
    texts = []
    for number in range(3):
        result = caller.stream(
            program,
            f"k{number}",
            address=site.callers["box-3"],
            service="agent",
            messages=make_messages(f"Part {number}"),
            max_tokens=40,
        )
        assert result.is_whole
        assert result.restarts == 0
        texts.append(result.text)
    calls = caller.show(program)["calls"]
    assert [call["key"] for call in calls] == ["k0", "k1", "k2"]
    assert [len(text) for text in texts] == [160, 160, 160]
