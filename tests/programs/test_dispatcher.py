from __future__ import annotations

import pytest
from fake_world import FakeWorld

from cedarchute.targets.stream_chunk import StreamChunk
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict


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
