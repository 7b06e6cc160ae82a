from __future__ import annotations

import pytest
from fake_world import FakeWorld

from cedarchute.decisions.crash_count import MAX_CRASHES
from cedarchute.targets.stream_chunk import StreamChunk
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict

# Longer than a target that failed gets no calls.
REST_SECONDS = 60.0


@pytest.fixture
def world():
    world = FakeWorld()
    yield world
    world.close()


def test_a_call_that_may_have_run_is_not_tried_again(world):
    program = world.open(0)
    world.service.behaviour = "lost"
    outcome = world.call(world.boxes[0], program, "k", service="transfer", body=1)
    assert outcome.verdict == "may have run"
    assert world.service.ran == {f"{program}:k": 1}
    assert world.boxes[0].metrics.totals["retried.target_broke_off"] == 0


def test_an_attempt_that_may_have_run_is_never_followed_by_not_run(world):
    """A model stream breaks off; every other target then refuses the call."""
    program = world.open(0)
    box = world.boxes[0]
    request_ids = []

    def generate(address, request, seconds):
        request_ids.append(request.request_id)
        verdict = Verdict.MAY_HAVE_RUN if len(request_ids) == 1 else Verdict.NOT_RUN
        raise TargetError("target_error", "gone", verdict)
        yield

    box.runner.dispatcher.model_caller.engines.generate = generate
    outcome = world.call(
        box,
        program,
        "k",
        service="agent",
        messages=[{"role": "user", "content": "Hi"}],
    )
    assert outcome.verdict == "may have run"


def test_a_stream_whose_engine_is_gone_when_it_goes_on_may_have_run(world):
    program = world.open(0)
    box = world.boxes[0]
    engines = box.runner.dispatcher.model_caller.engines

    def generate(address, request, seconds):
        yield StreamChunk("begun", 1)
        raise TargetError("target_broke_off", "reset", Verdict.MAY_HAVE_RUN)

    def resume(address, request_id, offset, seconds):
        raise TargetError("target_unreachable", "refused", Verdict.NOT_RUN)

    engines.generate, engines.resume = generate, resume
    messages = [{"role": "user", "content": "Hi"}]
    outcome = world.call(box, program, "k", service="agent", messages=messages)
    assert outcome.verdict == "may have run"
    assert outcome.code == "target_broke_off"


def test_a_cut_off_owner_sends_nothing_once_it_may_have_been_replaced(world):
    program = world.open(0)
    box = world.boxes[0]
    assert world.call(box, program, "a", service="transfer", body=1)
    world.network.cut.add(box.port)
    world.pass_lease()
    assert world.find_home(program) is not None
    answer = world.call(box, program, "b", service="transfer", body=2)
    assert answer is None or answer.verdict == "may have run"
    assert world.service.ran == {f"{program}:a": 1}


def test_a_call_that_crashes_whatever_runs_it_is_sent_to_three_targets(world):
    program = world.open(0)
    box = world.boxes[0]
    world.probe.is_gone = True
    runs = []

    def generate(address, request, seconds):
        runs.append(request.request_id)
        raise TargetError("target_broke_off", "reset", Verdict.MAY_HAVE_RUN)
        yield

    def resume(address, request_id, offset, seconds):
        raise TargetError("target_unreachable", "refused", Verdict.NOT_RUN)

    engines = box.runner.dispatcher.model_caller.engines
    engines.generate, engines.resume = generate, resume
    messages = [{"role": "user", "content": "Hi"}]
    outcomes = []
    for key in "abcdef":
        outcome = world.call(box, program, key, service="agent", messages=messages)
        outcomes.append(outcome)
        world.clock.advance(REST_SECONDS)
    assert len(runs) == MAX_CRASHES
    assert outcomes[-1].verdict == "not run"
    assert (outcomes[-1].status, outcomes[-1].code) == (503, "targets_crashed")


def test_a_call_is_cleared_by_an_answer(world):
    program = world.open(0)
    box = world.boxes[0]
    world.probe.is_gone = True
    for key in "abcdef":
        world.service.behaviour = "ok" if key in "ce" else "lost"
        outcome = world.call(box, program, key, service="transfer", body=1)
        assert outcome.verdict == ("ran" if key in "ce" else "may have run")
        world.clock.advance(REST_SECONDS)
