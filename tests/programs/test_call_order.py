from __future__ import annotations

import eventlet
import pytest
from fake_world import FakeWorld

from cedarchute.problem import Problem
from cedarchute.programs.requests import CallRequest


@pytest.fixture
def world():
    world = FakeWorld()
    yield world
    world.close()


def wait_all(runs):
    with eventlet.Timeout(5):
        while not all(run.is_done for run in runs):
            eventlet.sleep(0.005)


def test_calls_of_one_program_run_one_after_the_other(world):
    program = world.open(0)
    running = []
    overlaps = []

    def before(box):
        running.append(box)
        overlaps.append(len(running))
        eventlet.sleep(0.01)

    world.service.before = before
    world.service.after = lambda box: running.pop()
    box = world.boxes[0]
    found = box.home.find(program)
    runs = [
        box.runner.start(found, f"k{n}", CallRequest(service="transfer", body=n))
        for n in range(5)
    ]
    wait_all(runs)
    assert world.service.order == [f"{program}:k{n}" for n in range(5)]
    assert max(overlaps) == 1


def test_a_call_out_of_its_turn_is_refused_and_did_not_run(world):
    program = world.open(0)
    box = world.boxes[0]
    found = box.home.find(program)
    with pytest.raises(Problem) as refusal:
        box.runner.start(found, "k", CallRequest(service="transfer", body=1, turn=2))
    assert refusal.value.code == "out_of_order"
    assert refusal.value.verdict == "not run"
    assert not world.service.ran
    run = box.runner.start(found, "k", CallRequest(service="transfer", body=1, turn=1))
    wait_all([run])
    assert run.outcome.verdict == "ran"


def test_a_call_whose_deadline_passed_while_it_waited_is_dropped(world):
    program = world.open(0)
    box = world.boxes[0]
    found = box.home.find(program)
    world.service.before = lambda _: world.clock.advance(1.0)
    first = box.runner.start(found, "a", CallRequest(service="transfer", body=1))
    late = box.runner.start(
        found, "b", CallRequest(service="transfer", body=2, deadline_seconds=0.5)
    )
    wait_all([first, late])
    assert late.problem.code == "deadline"
    assert late.problem.verdict == "not run"
    assert world.service.ran == {f"{program}:a": 1}


def test_a_key_used_again_for_another_request_is_refused(world):
    program = world.open(0)
    box = world.boxes[0]
    found = box.home.find(program)
    run = box.runner.start(found, "k", CallRequest(service="transfer", body=1))
    wait_all([run])
    with pytest.raises(Problem) as refusal:
        box.runner.start(found, "k", CallRequest(service="transfer", body=2))
    assert refusal.value.code == "key_reused"
