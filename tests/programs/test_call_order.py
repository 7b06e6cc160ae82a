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


def wait_until_done(runs):
    with eventlet.Timeout(5):
        while not all(run.is_done for run in runs):
            eventlet.sleep(0.005)


def test_calls_of_one_program_run_one_after_the_other(world):
    program = world.open(0)
    running = []
    concurrency = []

    def record_start(box):
        running.append(box)
        concurrency.append(len(running))
        eventlet.sleep(0.01)

    world.service.before = record_start
    world.service.after = lambda box: running.pop()
    box = world.boxes[0]
    opened = box.home.find(program)
    runs = [
        box.runner.start(opened, f"k{n}", CallRequest(service="transfer", body=n))
        for n in range(5)
    ]
    wait_until_done(runs)
    assert world.service.order == [f"{program}:k{n}" for n in range(5)]
    assert max(concurrency) == 1


def test_a_call_out_of_its_turn_is_refused_and_did_not_run(world):
    program = world.open(0)
    box = world.boxes[0]
    opened = box.home.find(program)
    with pytest.raises(Problem) as refusal:
        box.runner.start(opened, "k", CallRequest(service="transfer", body=1, turn=2))
    assert refusal.value.code == "out_of_order"
    assert refusal.value.verdict == "not run"
    assert not world.service.ran
    run = box.runner.start(opened, "k", CallRequest(service="transfer", body=1, turn=1))
    wait_until_done([run])
    assert run.outcome.verdict == "ran"


def test_a_call_whose_deadline_passed_while_it_waited_is_dropped(world):
    program = world.open(0)
    box = world.boxes[0]
    opened = box.home.find(program)
    world.service.before = lambda _: world.clock.advance(1.0)
    first = box.runner.start(opened, "a", CallRequest(service="transfer", body=1))
    expired = box.runner.start(
        opened, "b", CallRequest(service="transfer", body=2, deadline_seconds=0.5)
    )
    wait_until_done([first, expired])
    assert expired.problem.code == "deadline"
    assert expired.problem.verdict == "not run"
    assert world.service.ran == {f"{program}:a": 1}


def test_a_key_used_again_for_another_request_is_refused(world):
    program = world.open(0)
    box = world.boxes[0]
    opened = box.home.find(program)
    run = box.runner.start(opened, "k", CallRequest(service="transfer", body=1))
    wait_until_done([run])
    with pytest.raises(Problem) as refusal:
        box.runner.start(opened, "k", CallRequest(service="transfer", body=2))
    assert refusal.value.code == "key_reused"
