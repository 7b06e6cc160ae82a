from __future__ import annotations

from support import make_messages

from experiments.caller import Caller, new_key


def test_a_program_is_served_end_to_end(site, caller):
    program = caller.open()
    first = caller.call(
        program, "first", service="agent", messages=make_messages("Hi"), max_tokens=8
    )
    paid = caller.call(program, "pay", service="transfer", body={"amount": 5})
    second = caller.call(
        program, "second", service="agent", messages=make_messages("So"), max_tokens=8
    )
    assert first.document["choices"][0]["message"]["content"]
    assert paid.document["answer"]["count"] == 1
    # The second prompt holds the first exchange.
    assert second.document["usage"]["prompt_tokens"] > 8
    assert [c["key"] for c in caller.show(program)["calls"]] == [
        "first",
        "pay",
        "second",
    ]
    assert caller.end(program).status == 200


def test_the_first_token_passes_at_once(site, caller):
    program = caller.open()
    result = caller.stream(
        program,
        new_key(),
        service="agent",
        messages=make_messages("Tell me"),
        max_tokens=60,
    )
    assert result.is_whole
    assert len(result.text) == 60 * 4
    # Sixty tokens of 5 ms in one burst would be a handful of events.
    assert len(result.event_times) > 6


def test_an_answer_is_kept_and_given_again_at_any_box(site, caller):
    program = caller.open()
    key = new_key()
    request = {"service": "transfer", "body": {"amount": 7}}
    answers = []
    for address in site.callers.values():
        answers.append(Caller([address]).call(program, key, **request).document)
    assert answers[0]["answer"]["count"] == 1
    assert answers == [answers[0]] * len(answers)


def test_a_stream_resumes_at_its_offset_at_any_box(site, caller):
    program = caller.open()
    key = new_key()
    whole = caller.stream(
        program, key, service="agent", messages=make_messages("Go"), max_tokens=20
    )
    for address in site.callers.values():
        headers = {"Idempotency-Key": key, "Last-Event-ID": "0.30"}
        request = {
            "service": "agent",
            "messages": make_messages("Go"),
            "max_tokens": 20,
        }
        events = list(caller.open_stream(address, program, headers, request))
        assert whole.text[30:] in events[0]["data"]


def test_a_sub_agent_spends_a_part_of_its_parents_budget(site, caller):
    parent = caller.open(tokens=1000, calls=10, seconds=60)
    child = caller.open(parent=parent, tokens=400, calls=4)
    assert caller.show(parent)["budget"]["tokens_used"] == 400
    caller.call(
        child, "one", service="agent", messages=make_messages("x" * 40), max_tokens=10
    )
    caller.end(child)
    assert caller.show(parent)["budget"] == {
        "tokens": 1000,
        "tokens_used": 20,
        "calls": 10,
        "calls_used": 1,
        "seconds": 60.0,
    }
