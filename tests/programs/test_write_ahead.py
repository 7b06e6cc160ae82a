from __future__ import annotations

import pytest
from fake_world import FakeWorld


@pytest.fixture
def world():
    world = FakeWorld()
    yield world
    world.close()


def cut_and_pass(world):
    """Cut a box off and let another one take its programs over."""

    def strike(port):
        world.service.before = world.service.after = None
        world.network.cut.add(port)
        world.pass_lease()

    return strike


def transfer(world, program, box, key="k"):
    return world.call(box, program, key, service="transfer", body=1)


def test_a_call_is_known_to_the_new_home_before_it_can_have_run(world):
    program = world.open(0)
    world.service.after = lambda port: world.kill(port // 100)
    transfer(world, program, world.boxes[0])
    world.settle()
    again = transfer(world, program, world.find_home(program))
    assert again.verdict == "may have run"
    assert world.service.ran == {f"{program}:k": 1}


def test_an_outcome_is_told_only_when_a_new_home_would_tell_the_same(world):
    program = world.open(0)
    old = world.boxes[0]
    world.service.after = cut_and_pass(world)
    told = transfer(world, program, old)
    world.settle()
    later = transfer(world, program, world.find_home(program))
    assert later.verdict == "may have run"
    assert told is None or told.verdict == later.verdict


def test_a_home_paused_between_copy_and_dispatch_sends_nothing(world):
    program = world.open(0)
    old = world.boxes[0]
    attempt = old.runner.dispatcher.attempt

    def pause_first(call, **named):
        cut_and_pass(world)(old.port)
        return attempt(call, **named)

    old.runner.dispatcher.attempt = pause_first
    told = transfer(world, program, old)
    assert told is None or told.verdict == "may have run"
    assert not world.service.ran


def test_a_stale_home_does_not_refuse_as_not_run_what_has_run(world):
    program = world.open(0)
    old = world.boxes[0]
    transfer(world, program, old, "first")
    world.network.cut.add(old.port)
    world.pass_lease()
    new = next(
        box
        for box in world.boxes.values()
        if box is not old and program in box.home.programs
    )
    assert transfer(world, program, new, "second").verdict == "ran"
    # The old home would refuse the turn of this call, had it not to confirm first.
    stale = world.call(old, program, "second", service="transfer", body=1, turn=1)
    assert stale is None or stale.verdict == "may have run"
