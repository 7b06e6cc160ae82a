from __future__ import annotations

import pytest
from fake_world import FakeWorld

from cedarchute.platform.store_entry import StoreEntry


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


def restart(world, number):
    world.kill(number)
    world.start(number)


def test_holders_are_replaced_again_after_a_write_whose_reply_was_lost(world):
    box = world.boxes[0]
    program = world.open(0)
    restart(world, 2)
    world.store.lost_replies = 1
    for _ in range(3):
        world.look()
    restart(world, 1)
    for _ in range(3):
        world.look()
    record = box.find_record(program)
    assert record == box.view.partitions["b0.1"]
    assert {"b1.2", "b2.2"} <= set(record.holders)


def test_a_record_that_the_store_reverted_to_earlier_holders_is_written_again(world):
    box = world.boxes[0]
    earlier = world.store.entries["x/partitions/b0.1"]
    restart(world, 2)
    for _ in range(3):
        world.look()
    own = box.replicator.partitions["b0.1"]
    assert "b2.2" in own.record.holders
    world.store.revision += 1
    world.store.entries[earlier.key] = StoreEntry(
        earlier.key, earlier.value, world.store.revision
    )
    for _ in range(3):
        world.look()
    assert world.store.entries[earlier.key].value == own.record.to_json()


def test_a_partition_whose_removal_got_no_reply_is_dropped(world):
    """The record is gone from the store, which nobody told this box."""
    box = world.boxes[0]
    own = box.replicator.partitions["b0.1"]
    del world.store.entries["x/partitions/b0.1"]
    box.partitions.remove(own)
    assert "b0.1" not in box.replicator.partitions
