from __future__ import annotations

from support import Background, count_engine, count_ran, make_messages, open_at

from experiments.waiting import wait_until


def test_history_survives_a_kill_between_turns(broken_site):
    program, caller = open_at(broken_site, "box-1")
    request = {"service": "agent", "max_tokens": 8}
    first = caller.call(program, "one", messages=make_messages("A" * 400), **request)
    broken_site.processes["box-1"].kill()
    second = caller.call(program, "two", messages=make_messages("B"), **request)
    before = first.document["usage"]
    after = second.document["usage"]
    assert after["prompt_tokens"] > before["total_tokens"]
    shown = caller.show(program)
    assert [call["key"] for call in shown["calls"]] == ["one", "two"]
    assert shown["home"] != "box-1"
    assert shown["takeovers"] == 1


def test_a_stream_survives_the_kill_of_its_home(broken_site):
    program, caller = open_at(broken_site, "box-1")
    request = {
        "service": "agent",
        "messages": make_messages("Long"),
        "max_tokens": 600,
    }
    reading = Background(caller.stream, program, "long", **request)
    wait_until(lambda: count_engine(broken_site, "generated_tokens") > 100, "tokens")
    broken_site.processes["box-1"].kill()
    result = reading.get()
    assert result.is_whole
    assert result.restarts == 0
    assert len(result.text) == 600 * 4
    # The new home read the stream on; the engine did not generate it again.
    assert count_engine(broken_site, "requests") == 1
    kept = caller.call(program, "long", **request).document
    assert kept["choices"][0]["message"]["content"] == result.text


def test_an_open_call_that_may_not_repeat_is_not_sent_again(broken_site):
    program, caller = open_at(broken_site, "box-1")
    body = {"seconds": 3}
    calling = Background(caller.call, program, "pay", service="transfer", body=body)
    wait_until(lambda: count_ran(broken_site, "transfer-1", program, "pay"), "sent")
    broken_site.processes["box-1"].kill()
    reply = calling.get()
    assert reply.document["verdict"] == "may have run"
    again = caller.call(program, "pay", service="transfer", body=body)
    assert again.document["verdict"] == "may have run"
    assert count_ran(broken_site, "transfer-1", program, "pay") == 1


def test_a_repeatable_open_call_is_run_again_by_the_new_home(broken_site):
    program, caller = open_at(broken_site, "box-1")
    body = {"seconds": 1}
    calling = Background(caller.call, program, "ask", service="balance", body=body)
    wait_until(lambda: count_ran(broken_site, "balance-1", program, "ask"), "sent")
    broken_site.processes["box-1"].kill()
    assert calling.get().document["verdict"] == "ran"


def test_budget_and_end_survive_a_kill(broken_site):
    program, caller = open_at(broken_site, "box-1")
    caller.call(
        program, "one", service="agent", messages=make_messages("A"), max_tokens=8
    )
    before = caller.show(program)["budget"]
    broken_site.processes["box-1"].kill()
    assert caller.show(program)["budget"] == before
    assert caller.end(program).status == 200
    refused = caller.call(
        program, "two", service="agent", messages=make_messages("A"), max_tokens=8
    )
    assert refused.document["code"] == "program_ended"
    assert refused.document["verdict"] == "not run"


def test_cache_is_released_by_whoever_takes_over(broken_site):
    program, caller = open_at(broken_site, "box-1")
    caller.call(
        program,
        "one",
        service="agent",
        messages=make_messages("A" * 800),
        max_tokens=8,
    )
    for engine in ("engine-1", "engine-2"):
        broken_site.processes[engine].pause()
    caller.end(program)
    broken_site.processes["box-1"].kill()
    for engine in ("engine-1", "engine-2"):
        broken_site.processes[engine].resume()

    def is_released():
        return not any(
            broken_site.http.get(broken_site.target_address(engine), "/cache/held")[
                "programs"
            ]
            for engine in ("engine-1", "engine-2")
        )

    wait_until(is_released, "cache is released")


def test_two_boxes_killed_one_after_the_other_lose_nothing(broken_site):
    program, caller = open_at(broken_site, "box-1")
    request = {"service": "agent", "max_tokens": 4}
    for turn in range(3):
        caller.call(program, f"k{turn}", messages=make_messages("A" * 99), **request)
    broken_site.processes["box-1"].kill()
    caller.call(program, "k3", messages=make_messages("B"), **request)
    home = caller.show(program)["home"]
    wait_until(
        lambda: (
            caller.show(program)["home"] == home
            and len(caller.show(program)["holders"]) == 2
        ),
        "new holders",
    )
    broken_site.processes[home].kill()
    caller.call(program, "k4", messages=make_messages("C"), **request)
    shown = caller.show(program)
    assert [c["key"] for c in shown["calls"]] == ["k0", "k1", "k2", "k3", "k4"]
    assert shown["takeovers"] == 2
