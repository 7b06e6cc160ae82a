from __future__ import annotations

import pytest

from cedarchute.copies.owned_partition import OwnedPartition
from cedarchute.copies.program_log import ProgramLog
from cedarchute.membership.partition_record import PartitionRecord


def make_record(holders):
    return PartitionRecord(
        partition="b.1",
        epoch=1,
        owner="b.1",
        holders=tuple(holders),
        quorum=2,
        operation=holders,
    )


@pytest.fixture
def partition():
    """A partition whose store record may list either ABC or CDE."""
    partition = OwnedPartition(make_record("ABC"), 1)
    partition.proposed = make_record("CDE")
    return partition


@pytest.mark.parametrize(
    ("holders", "has_quorum"),
    [("AB", False), ("DE", False), ("ABD", False), ("ACD", True), ("ABDE", True)],
)
def test_a_record_needs_a_quorum_of_the_old_and_the_proposed_holders(
    partition, holders, has_quorum
):
    """Whichever record the store has, a new owner finds what was acknowledged."""
    program_log = ProgramLog()
    program_log.add(1, ["one"])
    for holder in holders:
        program_log.record_matched(holder, 1)
    assert partition.has_quorum(program_log, 1) == has_quorum


def test_the_owner_is_confirmed_by_the_old_and_the_proposed_holders(partition):
    partition.confirmation_times = {"A": 5.0, "B": 5.0, "D": 2.0}
    assert partition.confirmed_at == float("-inf")
    partition.confirmation_times["E"] = 3.0
    assert partition.confirmed_at == 2.0
    partition.proposed = None
    assert partition.confirmed_at == 5.0
