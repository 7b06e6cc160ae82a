from __future__ import annotations

from support import Background, count_ran, make_messages, open_at

from experiments.waiting import wait_until


def read_counts(site, engine):
    return site.http.get(site.target_address(engine), "/counts")


def test_a_leaving_target_gets_nothing_new(broken_site):
    program, caller = open_at(broken_site, "box-1")
    broken_site.switch_target("engine-1", leaving=True)

    def is_known():
        return all(
            any(
                target["name"] == "engine-1" and target["state"] == "leaving"
                for target in broken_site.http.get(address, "/operators/targets")[
                    "targets"
                ]
            )
            for address in broken_site.peers.values()
        )

    wait_until(is_known, "every box knows")
    before = read_counts(broken_site, "engine-1").get("requests", 0)
    for turn in range(6):
        caller.call(
            program,
            f"k{turn}",
            service="agent",
            messages=make_messages("A"),
            max_tokens=4,
        )
    assert read_counts(broken_site, "engine-1").get("requests", 0) == before
    assert read_counts(broken_site, "engine-2")["requests"] >= 6


def test_a_target_that_dies_in_a_stream_is_replaced(broken_site):
    program, caller = open_at(broken_site, "box-1")
    reading = Background(
        caller.stream,
        program,
        "long",
        service="agent",
        messages=make_messages("Long"),
        max_tokens=400,
    )

    def find_busy():
        for name in ("engine-1", "engine-2"):
            if read_counts(broken_site, name).get("generated_tokens", 0) > 50:
                return name
        return None

    broken_site.processes[wait_until(find_busy, "tokens")].kill()
    result = reading.get()
    assert result.is_whole
    assert result.restarts == 1
    assert len(result.text) == 400 * 4
    assert result.verdict == "ran"


def test_a_hung_tool_ends_at_its_deadline_as_may_have_run(broken_site):
    program, caller = open_at(broken_site, "box-1")
    broken_site.switch_target("transfer-1", hang=True)
    reply = caller.call(
        program, "pay", service="transfer", body={"a": 1}, deadline_seconds=1
    )
    assert reply.status == 504
    assert reply.document["verdict"] == "may have run"
    broken_site.switch_target("transfer-1", hang=False)
    again = caller.call(
        program, "pay", service="transfer", body={"a": 1}, deadline_seconds=1
    )
    assert again.document["verdict"] == "may have run"
    assert count_ran(broken_site, "transfer-1", program, "pay") == 1


def test_a_failure_after_the_effect_is_not_tried_again(broken_site):
    program, caller = open_at(broken_site, "box-1")
    broken_site.switch_target("transfer-1", fail_after_effect=1)
    reply = caller.call(program, "pay", service="transfer", body={"a": 1})
    assert reply.document["verdict"] == "may have run"
    assert count_ran(broken_site, "transfer-1", program, "pay") == 1


def test_a_busy_target_means_not_run_and_the_same_key_may_run_later(broken_site):
    program, caller = open_at(broken_site, "box-1")
    broken_site.switch_target("transfer-1", busy=1)
    reply = caller.http.request(
        "POST",
        caller.known[0],
        f"/v1/programs/{program}/calls",
        {"service": "transfer", "body": {"a": 1}},
        {"Idempotency-Key": "pay"},
    )
    assert reply.document["verdict"] == "not run"
    assert reply.document["retry_after"] > 0
    assert count_ran(broken_site, "transfer-1", program, "pay") == 0
    later = caller.call(program, "pay", service="transfer", body={"a": 1})
    assert later.document["verdict"] == "ran"
    assert count_ran(broken_site, "transfer-1", program, "pay") == 1


def test_a_failure_is_found_in_the_logs_by_the_id_of_its_request(broken_site):
    program, caller = open_at(broken_site, "box-1")
    broken_site.switch_target("transfer-1", fail_after_effect=1)
    reply = caller.http.request(
        "POST",
        broken_site.callers["box-2"],
        f"/v1/programs/{program}/calls",
        {"service": "transfer", "body": {"a": 1}},
        {"Idempotency-Key": "pay", "X-Request-Id": "teller-7"},
    )
    assert reply.headers["x-request-id"] == "teller-7"
    lines = broken_site.processes["box-1"].log_path.read_text().splitlines()
    assert any("failed" in line and "[request teller-7]" in line for line in lines)
