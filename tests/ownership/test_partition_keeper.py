from __future__ import annotations

import pytest
from fake_world import FakeWorld


@pytest.fixture
def world():
    world = FakeWorld()
    yield world
    world.close()


def test_a_holder_that_comes_late_is_preferred_by_its_failure_domain(world):
    """Boxes 0 and 3 share a failure domain; 1 and 2 have one each."""
    box = world.boxes[0]
    world.kill(2)
    own = box.replicator.partitions[box.partitions.own_name]
    world.kill(2)
    world.settle()
    while "b2.2" not in own.record.holders:
        world.look()
    assert own.record.holders == box.partitions.choose()
    assert own.record.holders[-1].startswith("b3.")
