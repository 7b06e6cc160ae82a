from __future__ import annotations

import time

from support import (
    Background,
    count_engine,
    count_ran,
    make_messages,
    open_at,
    start_site,
)

from experiments.box_timing import BoxTiming
from experiments.caller import Caller
from experiments.waiting import wait_until


def test_a_planned_stop_cuts_nothing_off(broken_site):
    program, _ = open_at(broken_site, "box-1")
    payer, _ = open_at(broken_site, "box-1")
    # Callers that still hold the old answer connect to the leaving box itself.
    entry = broken_site.callers["box-1"]
    reading = Background(
        Caller([entry]).stream,
        program,
        "long",
        address=entry,
        service="agent",
        messages=make_messages("Long"),
        max_tokens=800,
    )
    paying = Background(
        Caller([entry]).call, payer, "pay", service="transfer", body={"seconds": 3}
    )
    wait_until(lambda: count_ran(broken_site, "transfer-1", payer, "pay"), "sent")
    wait_until(lambda: count_engine(broken_site, "generated_tokens") > 50, "tokens")
    broken_site.processes["box-1"].terminate()
    result = reading.get()
    assert result.is_whole
    assert result.restarts == 0
    assert len(result.text) == 800 * 4
    assert paying.get().document["verdict"] == "ran"
    assert broken_site.processes["box-1"].wait() == 0
    others = [broken_site.callers["box-2"], broken_site.callers["box-3"]]
    shown = Caller(others).show(program)
    assert shown["home"] != "box-1"
    assert [call["verdict"] for call in shown["calls"]] == ["ran"]


def test_a_leaving_box_is_no_entry_but_serves_those_who_come(broken_site):
    broken_site.processes["box-1"].terminate()
    other = broken_site.callers["box-2"]

    def has_left():
        entries = broken_site.http.get(other, "/v1/entries")["entries"]
        return broken_site.callers["box-1"] not in [e["address"] for e in entries]

    wait_until(has_left, "out of the entries")
    if broken_site.processes["box-1"].is_running:
        address = broken_site.callers["box-1"]
        program = Caller([address]).open_here(address)
        assert Caller([other]).show(program)["home"] != "box-1"
    assert broken_site.processes["box-1"].wait() == 0


def test_a_rolling_restart_of_every_box_breaks_no_program(broken_site):
    caller = Caller(list(broken_site.callers.values()))
    program = caller.open()
    request = {"service": "agent", "max_tokens": 4}
    for number, name in enumerate(list(broken_site.callers)):
        caller.call(program, f"k{number}", messages=make_messages("A"), **request)
        broken_site.processes[name].terminate()
        assert broken_site.processes[name].wait() == 0
        domain = f"domain-{'abc'[number % 3]}"
        broken_site.start_box(name, domain)
        broken_site.wait_boxes(name)
    caller.call(program, "last", messages=make_messages("A"), **request)
    keys = [call["key"] for call in caller.show(program)["calls"]]
    assert keys == ["k0", "k1", "k2", "k3", "last"]


def test_a_leaving_box_serves_as_long_as_answers_are_kept(tmp_path):
    timing = BoxTiming(entry_keep_seconds=3.0)
    with start_site(tmp_path / "run", boxes=4, timing=timing) as site:
        address = site.callers["box-1"]
        # This caller keeps the address and never asks for entries again.
        caller = Caller([address])
        caller.ask_entries()
        caller.entries = [address]
        until = caller.keep_until
        site.processes["box-1"].terminate()
        program = Caller([site.callers["box-2"]]).open()
        number = 0
        while time.monotonic() < until:
            reply = caller.try_request(
                "POST",
                f"/v1/programs/{program}/calls",
                {"service": "balance", "body": number},
                {"Idempotency-Key": f"k{number}"},
            )
            assert reply is not None, "cut off while the answer may be kept"
            assert reply.status == 200, reply.document
            number += 1
            time.sleep(0.03)
        assert site.processes["box-1"].wait() == 0
