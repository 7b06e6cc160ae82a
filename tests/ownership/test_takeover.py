from __future__ import annotations

import eventlet
import pytest
from fake_world import FakeWorld

from cedarchute.copies.owned_partition import PartitionMovedError
from cedarchute.ownership import partition_keeper
from cedarchute.problem import Problem
from cedarchute.programs.requests import OpenRequest


@pytest.fixture
def world():
    world = FakeWorld()
    yield world
    world.close()


def test_an_owner_that_answers_is_not_taken_over_for_lack_of_a_record(world):
    """The store has lost every lease while all boxes keep running."""
    program = world.open(0)
    for box in world.boxes.values():
        for record in list(box.view.boxes.values()):
            box.view.drop_box(record.name, world.clock.monotonic())
    for _ in range(2):
        world.clock.advance(100)
        for box in list(world.boxes.values()):
            for record in list(box.view.partitions.values()):
                if box.takeover.may_take(record):
                    box.takeover.consider(record)
    owner = world.find_home(program)
    assert owner is world.boxes[0]
    assert owner.home.find(program).takeover_count == 0


def test_nobody_takes_over_while_the_store_is_down(world):
    program = world.open(0)
    world.kill(0)
    world.store.is_down = True
    world.pass_lease()
    assert world.find_home(program) is None
    world.store.is_down = False
    world.pass_lease()
    assert world.find_home(program) is not None


def test_a_takeover_whose_reply_was_lost_is_gone_on_with(world):
    program = world.open(0)
    world.kill(0)
    world.store.lost_replies = 1
    world.settle()
    assert world.find_home(program).home.find(program).takeover_count == 1


def test_a_box_that_lost_its_partition_opens_programs_again(world):
    first = world.open(0)
    world.network.cut.add(world.boxes[0].port)
    world.pass_lease()
    world.settle()
    second = world.open(0)
    assert second is not None
    assert world.find_home(second) is world.boxes[0]
    assert world.find_home(first) is not world.boxes[0]


def test_an_opening_at_a_box_that_was_cut_off_is_refused_as_not_run(world):
    box = world.boxes[0]
    world.open(0)
    world.network.cut.add(box.port)
    world.pass_lease()
    world.network.cut.clear()
    with pytest.raises(Problem) as raised:
        box.home.open(OpenRequest(workspace="members"))
    assert raised.value.verdict == "not run"
    assert raised.value.retry_after > 0


def test_a_new_owner_reads_what_it_holds_itself_from_nobody(world):
    programs = [world.open(0) for _ in range(5)]
    world.kill(0)
    world.network.sent.clear()
    world.pass_lease()
    owners = {world.find_home(program).record.name for program in programs}
    assert len(owners) == 1
    assert world.network.sent["read"] == 0


def test_a_new_owner_is_no_holder_of_what_it_took_over(world):
    program = world.open(0)
    world.kill(0)
    world.settle()
    home = world.find_home(program)
    record = home.find_record(program)
    assert home.record.holder not in record.holders
    assert set(record.holders) <= {box.record.holder for box in world.boxes.values()}


def test_a_takeover_is_not_done_before_its_holders_are_stored(world):
    """The store is lost between the claim and the change of holders."""
    program = world.open(0)
    world.kill(0)
    world.store.is_down_after = world.store.swap_count + 1
    world.pass_lease()
    owner = world.find_home(program)
    assert owner.replicator.partitions["b0.1"].is_recovering
    world.settle()
    assert world.find_home(program) is owner


def test_a_holder_that_goes_silent_after_it_was_sealed_delays_a_takeover_shortly(
    world, monkeypatch
):
    monkeypatch.setattr(partition_keeper, "GATE_SECONDS", 0.1)
    monkeypatch.setattr(partition_keeper, "JOIN_SECONDS", 60.0)
    program = world.open(0)
    silent = []
    for box in list(world.boxes.values())[1:]:
        restore = box.takeover.recovery.restore

        def restore_and_cut(partition, owner_gone, restore=restore, box=box):
            sealed = restore(partition, owner_gone)
            others = (b for b in world.boxes.values() if b.record.holder in sealed)
            silent.append(next(b.port for b in others if b is not box))
            world.network.cut.add(silent[0])
            return sealed

        monkeypatch.setattr(box.takeover.recovery, "restore", restore_and_cut)
    world.kill(0)
    world.pass_lease()
    with eventlet.Timeout(10.0):
        while world.find_home(program).find_partition(program).is_recovering:
            eventlet.sleep(0.01)
    assert silent


def test_a_takeover_ends_when_another_box_takes_the_partition_meanwhile(
    world, monkeypatch, caplog
):
    """The records are read, and the takeover can't be recorded any more."""
    caplog.set_level("INFO")
    partition = world.boxes[0].replicator.partitions["b0.1"]

    def move(partition, owner_gone):
        raise PartitionMovedError(partition.name)

    takeover = world.boxes[1].takeover
    monkeypatch.setattr(takeover.recovery, "restore", move)
    takeover.recover(partition, owner_gone=True)
    assert "Takeover of b0.1 interrupted" in caplog.text
