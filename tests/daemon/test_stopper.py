from __future__ import annotations

import pytest
from fake_world import FakeWorld

from cedarchute.daemon.stop_request import StopRequest
from cedarchute.daemon.stopper import Stopper
from cedarchute.settings.box_settings import ServingSection

DRAIN_SECONDS = 0.2


@pytest.fixture
def world():
    world = FakeWorld()
    yield world
    world.close()


def make_stopper(world, box):
    return Stopper(
        box.partitions.keeper,
        box.view,
        box.partitions,
        world.network.client(box.port),
        [],
        ServingSection(drain_seconds=DRAIN_SECONDS),
        world.clock,
        StopRequest(),
    )


@pytest.mark.parametrize("is_recovering", [True, False])
def test_a_partition_is_removed_as_empty_only_once_its_records_are_read(
    world, is_recovering
):
    """A box that stopped during a takeover removed programs it had not read yet."""
    box = world.boxes[0]
    own = box.replicator.partitions["b0.1"]
    own.is_recovering = is_recovering
    make_stopper(world, box).hand_over(own)
    assert ("x/partitions/b0.1" in world.store.entries) == is_recovering
