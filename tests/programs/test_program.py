from __future__ import annotations

import eventlet
import pytest
from fake_world import FakeWorld

from cedarchute.problem import Problem
from cedarchute.programs.requests import BudgetRequest, OpenRequest


@pytest.fixture
def world():
    world = FakeWorld()
    yield world
    world.close()


def open_with(world, parent=None, **budget):
    request = OpenRequest(
        workspace="members", budget=BudgetRequest(**budget), parent=parent
    )
    return world.boxes[0].home.open(request)


def test_a_call_in_progress_counts_with_all_that_it_may_cost(world):
    program = open_with(world, tokens=100, calls=2)
    seen = []
    found = world.boxes[0].home.find(program.id)

    def generate(address, request, seconds):
        seen.append((found.remaining_tokens, request.max_tokens))
        yield from type(engines).generate(engines, address, request, seconds)

    engines = world.boxes[0].runner.dispatcher.model_caller.engines
    engines.generate = generate
    messages = [{"role": "user", "content": "x" * 40}]
    request = {"service": "agent", "messages": messages, "max_tokens": 500}
    world.call(world.boxes[0], program.id, "k", **request)
    # The answer is cut to what the budget has left beside the input.
    assert seen == [(0, 90)]
    assert found.remaining_tokens == 100 - 10 - 2


def test_a_program_never_exceeds_its_calls(world):
    program = open_with(world, tokens=100, calls=1)
    box = world.boxes[0]
    assert world.call(box, program.id, "a", service="transfer", body=1)
    refused = world.call(box, program.id, "b", service="transfer", body=1)
    assert refused.code == "budget_spent"
    assert refused.verdict == "not run"


def test_a_call_that_may_have_run_counts_as_spent(world):
    program = open_with(world, tokens=100, calls=1)
    world.service.behaviour = "lost"
    box = world.boxes[0]
    world.call(box, program.id, "a", service="transfer", body=1)
    world.service.behaviour = "ok"
    refused = world.call(box, program.id, "b", service="transfer", body=1)
    assert refused.code == "budget_spent"


def test_sub_agents_share_what_their_parent_has(world):
    parent = open_with(world, tokens=100, calls=4)
    child = open_with(world, parent=parent.id, tokens=60, calls=2)
    with pytest.raises(Problem) as refusal:
        open_with(world, parent=parent.id, tokens=60, calls=1)
    assert refusal.value.code == "budget_spent"
    world.call(world.boxes[0], child.id, "k", service="transfer", body=1)
    home = world.boxes[0].home
    home.end(child, "done")
    assert parent.remaining_tokens == 100
    assert parent.left_calls == 3


def test_a_part_whose_child_never_came_to_be_is_given_back(world):
    parent = open_with(world, tokens=100, calls=4)
    home = world.boxes[0].home
    child = open_with(world, parent=parent.id, tokens=60, calls=2)
    # The box is lost between the record of the part and that of the child.
    home.replicator.forget(child.partition, child.id)
    with eventlet.Timeout(5):
        while any(child.id in b.holder.held_programs for b in world.boxes.values()):
            world.look()
    world.kill(0)
    world.settle()
    found = world.find_home(parent.id).home.find(parent.id)
    with eventlet.Timeout(5):
        while found.remaining_tokens != 100:
            world.look()
