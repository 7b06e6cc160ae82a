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
    """A box leaves while one caller reads a stream through it and another one pays.

    Beside load the stream now and then did not count as whole. Its caller had the text
    to character 2468, then ``event: problem`` with ``recovering`` and ``retry_after``
    0.5, then the rest and the end 0.9 s later. The program's home had moved; the next
    one still read its records, and refused the request that the leaving box passed
    on, instead of waiting as it does for requests of its own callers. The leaving box
    handed the refusal to its caller as an event and went on with the stream behind
    it. The caller believed it, asked again, and found nobody at the only address it
    knew.
    """
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


def read_long(site, caller):
    """Begin to read a stream of some seconds at box-1, which is its home."""
    program, _ = open_at(site, "box-1")
    reading = Background(
        caller.stream,
        program,
        "long",
        address=site.callers["box-1"],
        service="agent",
        messages=make_messages("Long"),
        max_tokens=800,
    )
    wait_until(lambda: count_engine(site, "generated_tokens") > 50, "tokens")
    return reading


def find_holders(site, box):
    """Return the boxes that hold the partition of `box`, in their order."""
    owned = [r for r in site.read_partitions() if r["owner"].startswith(f"{box}.")]
    return [holder.rpartition(".")[0] for holder in owned[0]["holders"]]


def test_a_stream_goes_on_while_its_next_home_recovers(broken_site):
    """A planned stop moves a home while a stream is read through the old one.

    A holder that says nothing keeps the next home from reading the program at once.
    """
    caller = Caller([broken_site.callers["box-1"]])
    reading = read_long(broken_site, caller)
    silent = broken_site.processes[find_holders(broken_site, "box-1")[-1]]
    silent.pause()
    try:
        broken_site.processes["box-1"].terminate()
        result = reading.get()
    finally:
        silent.resume()
    assert caller.refusals == {}
    assert result.is_whole
    assert result.restarts == 0
    assert len(result.text) == 800 * 4


def test_a_leaving_box_opens_no_partition_anew(broken_site):
    """A stream keeps a box for some seconds after it has handed its programs over.

    Half a second later it opened a partition of a new number, which nobody was left to
    hand over: the others had to find out that its owner was gone.
    """
    reading = read_long(broken_site, Caller([broken_site.callers["box-1"]]))
    broken_site.processes["box-1"].terminate()
    assert reading.get().is_whole
    assert broken_site.processes["box-1"].wait() == 0
    log = broken_site.processes["box-1"].read_log()
    assert log.count("opened with") == 1


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
