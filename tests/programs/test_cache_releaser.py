from __future__ import annotations

import eventlet
import pytest
from fake_world import FakeWorld

from cedarchute.programs import cache_releaser


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(cache_releaser, "INITIAL_BACKOFF_SECONDS", 0.01)
    world = FakeWorld()
    yield world
    world.close()


def end_with_unconfirmed_release(world):
    program = world.open(0)
    messages = [{"role": "user", "content": "Hi"}]
    world.call(world.boxes[0], program, "k", service="agent", messages=messages)
    assert world.engines.held == {program}
    world.engines.is_deaf = True
    home = world.boxes[0].home
    home.end(home.find(program), "test")
    eventlet.sleep(0.05)
    assert world.engines.held == {program}
    return program


def wait_released(world):
    with eventlet.Timeout(5):
        while world.engines.held:
            world.look()
            eventlet.sleep(0.01)


def test_a_release_goes_on_until_the_engine_confirms(world):
    end_with_unconfirmed_release(world)
    world.engines.is_deaf = False
    wait_released(world)


def test_a_release_is_taken_over_with_the_program(world):
    end_with_unconfirmed_release(world)
    world.kill(0)
    world.engines.is_deaf = False
    world.pass_lease()
    wait_released(world)


def test_a_release_is_taken_over_by_a_box_that_works_with_other_targets(world):
    """The engine is outside of the subset of every box that may take over."""
    end_with_unconfirmed_release(world)
    for box in list(world.boxes.values())[1:]:
        directory = box.runner.dispatcher.directory
        directory.targets, directory.unassigned, directory.by_service = {}, {}, {}
    world.kill(0)
    world.engines.is_deaf = False
    world.pass_lease()
    wait_released(world)
