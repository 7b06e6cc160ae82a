from __future__ import annotations

import pytest
from fake_world import FakeWorld


@pytest.fixture
def world():
    world = FakeWorld()
    yield world
    world.close()


def make_isolation_hook(world):
    """Return a hook that isolates a box until another takes over its programs."""

    def isolate(port):
        world.service.before = world.service.after = None
        world.network.cut.add(port)
        world.pass_lease()

    return isolate


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
    world.service.after = make_isolation_hook(world)
    first = transfer(world, program, old)
    world.settle()
    second = transfer(world, program, world.find_home(program))
    assert second.verdict == "may have run"
    assert first is None or first.verdict == second.verdict


def test_a_home_paused_between_copy_and_dispatch_sends_nothing(world):
    program = world.open(0)
    old = world.boxes[0]
    attempt = old.runner.dispatcher.attempt

    def attempt_after_isolation(call, **options):
        make_isolation_hook(world)(old.port)
        return attempt(call, **options)

    old.runner.dispatcher.attempt = attempt_after_isolation
    first = transfer(world, program, old)
    assert first is None or first.verdict == "may have run"
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
    # Without an ownership check the old owner would refuse the turn as not run.
    stale = world.call(old, program, "second", service="transfer", body=1, turn=1)
    assert stale is None or stale.verdict == "may have run"
