from __future__ import annotations

from support import Background, count_ran, make_messages, open_at

from experiments.caller import Caller
from experiments.http_json import HttpJson
from experiments.waiting import wait_until


def test_a_paused_home_neither_sends_nor_answers_after_a_takeover(broken_site):
    program, caller = open_at(broken_site, "box-1")
    body = {"seconds": 1}
    calling = Background(caller.call, program, "pay", service="transfer", body=body)
    wait_until(lambda: count_ran(broken_site, "transfer-1", program, "pay"), "sent")
    broken_site.processes["box-1"].pause()
    reply = calling.get()
    assert reply.document["verdict"] == "may have run"
    other = caller.call(program, "next", service="transfer", body={"seconds": 0})
    assert other.document["verdict"] == "ran"
    broken_site.processes["box-1"].resume()
    # The old home has the first call's outcome by now, but may not tell it.
    late = Caller([broken_site.callers["box-1"]])
    again = late.call(program, "pay", service="transfer", body=body)
    assert again.document["verdict"] == "may have run"
    third = late.call(program, "third", service="transfer", body={"seconds": 0})
    assert third.document["verdict"] == "ran"
    for key in ("pay", "next", "third"):
        assert count_ran(broken_site, "transfer-1", program, key) == 1
    keys = [call["key"] for call in caller.show(program)["calls"]]
    assert keys == ["pay", "next", "third"]
    # The box that was paused is a home again, under a new number.
    wait_until(lambda: broken_site.counter("box-1", "ownership.own_renamed"), "renamed")
    broken_site.wait_boxes("box-1")
    assert Caller([broken_site.callers["box-1"]]).open()


def test_an_entry_that_waits_for_a_paused_home_goes_on_with_the_next(broken_site):
    program, _ = open_at(broken_site, "box-1")
    # This caller has the patience that would hide an entry that waits in vain.
    waiting = Background(
        HttpJson().request,
        "POST",
        broken_site.callers["box-2"],
        f"/v1/programs/{program}/calls",
        {"service": "transfer", "body": {"seconds": 1}},
        {"Idempotency-Key": "pay"},
        timeout=50.0,
    )
    wait_until(lambda: count_ran(broken_site, "transfer-1", program, "pay"), "sent")
    broken_site.processes["box-1"].pause()
    assert waiting.get().document["verdict"] == "may have run"
    assert count_ran(broken_site, "transfer-1", program, "pay") == 1


def test_a_retry_at_another_box_while_the_first_is_paused_runs_once(broken_site):
    program, caller = open_at(broken_site, "box-1")
    entry = broken_site.callers["box-2"]
    first = Background(
        Caller([entry]).call, program, "pay", service="transfer", body={"seconds": 1}
    )
    wait_until(lambda: count_ran(broken_site, "transfer-1", program, "pay"), "sent")
    broken_site.processes["box-2"].pause()
    others = [broken_site.callers["box-3"], broken_site.callers["box-4"]]
    again = Caller(others).call(program, "pay", service="transfer", body={"seconds": 1})
    broken_site.processes["box-2"].resume()
    assert again.document["answer"]["count"] == 1
    assert first.get().document == again.document


def test_one_key_at_every_box_at_once_runs_once(broken_site):
    program, _ = open_at(broken_site, "box-1")
    calls = [
        Background(
            Caller([address]).call,
            program,
            "pay",
            service="transfer",
            body={"seconds": 0.2},
        )
        for address in list(broken_site.callers.values()) * 3
    ]
    answers = [call.get().document for call in calls]
    assert answers == [answers[0]] * len(answers)
    assert count_ran(broken_site, "transfer-1", program, "pay") == 1


def test_a_short_pause_costs_time_and_nothing_else(broken_site):
    program, caller = open_at(broken_site, "box-1")
    broken_site.processes["box-1"].pause()
    calling = Background(
        caller.call, program, "one", service="agent", messages=make_messages("A")
    )
    broken_site.processes["box-1"].resume()
    assert calling.get().document["verdict"] == "ran"
