"""Programs and their accounts while a turn is under way, and between turns."""

from __future__ import annotations

import msgspec
import pytest
from test_expiry import RETENTION_SECONDS, clock, expire, site, write
from test_turn_storage import make_storage, make_turn

from cedarchute.turns.messages import BeginTurn, TakeRecords
from cedarchute.turns.program_state import ANSWER_DELAY_SECONDS, ProgramState
from cedarchute.turns.record_puller import list_missing_counts
from cedarchute.turns.record_source import describe
from cedarchute.turns.records import Reserved, Settled

__all__ = ["clock", "site"]

TURN_SECONDS = 3 * RETENTION_SECONDS
LONGER_SECONDS = 2 * RETENTION_SECONDS


def begin(site, names, turn, previous="", program="p", **terms):
    for name in names:
        message = BeginTurn(
            table_version=2,
            disk=f"disk-{name}",
            program=program,
            turn=turn,
            tokens=10,
            previous=previous,
            **terms,
        )
        site.holders[name].begin_turn(message)


def take(site, names, record):
    for name in names:
        message = TakeRecords(table_version=2, disk=f"disk-{name}", records=(record,))
        site.holders[name].take_records(message)


# The turn after one that took longer than the retention got 404.
@pytest.mark.parametrize("name", ["a", "b", "c"])
def test_a_turn_is_kept_while_the_next_one_is_under_way(site, clock, name):
    write(site, "abc", "t1")
    begin(site, "ab", "t2", "t1", open_seconds=TURN_SECONDS)
    clock.now += TURN_SECONDS - 1
    assert expire(site, name) == {"t1"}
    take(site, "ab", make_turn("t2", "t1"))
    clock.now += RETENTION_SECONDS - 1
    assert "t1" in expire(site, name)


@pytest.mark.parametrize("name", ["a", "b", "c"])
def test_a_turn_is_kept_while_another_program_runs_one_after_it(site, clock, name):
    write(site, "abc", "t1")
    begin(site, "ab", "t2", "t1", program="other", open_seconds=TURN_SECONDS)
    clock.now += TURN_SECONDS - 1
    assert expire(site, name) == {"t1"}
    take(site, "ab", make_turn("t2", "t1", program="other"))
    clock.now += RETENTION_SECONDS - 1
    assert "t1" in expire(site, name)


# After the retention of a route was raised, a chain lost the programs of before.
@pytest.mark.parametrize("name", ["a", "b", "c"])
def test_a_chain_is_kept_for_as_long_as_the_program_that_continues_it(
    site, clock, name
):
    write(site, "abc", "t1")
    turn = msgspec.structs.replace(
        make_turn("t2", "t1", program="other"),
        keep_seconds=LONGER_SECONDS,
        continued=("p",),
    )
    take(site, "ab", turn)
    clock.now += LONGER_SECONDS - 1
    assert "t1" in expire(site, name)
    clock.now += ANSWER_DELAY_SECONDS + 2
    assert expire(site, name) == set()


@pytest.mark.parametrize("program", ["p", "other"])
def test_a_turn_that_never_ends_keeps_nothing_beyond_its_time(site, clock, program):
    write(site, "abc", "t1")
    begin(site, "ab", "t2", "t1", program, open_seconds=TURN_SECONDS)
    clock.now += TURN_SECONDS + RETENTION_SECONDS + 1
    for name in "abc":
        assert expire(site, name) == set()


def test_the_retention_counts_from_the_end_of_a_turn(site, clock):
    write(site, "ab", "t1")
    begin(site, "ab", "t2", "t1", open_seconds=TURN_SECONDS)
    take(site, "ab", Settled("p", "t2", 3))
    clock.now += RETENTION_SECONDS + 1
    assert expire(site, "a") == set()


def rebuild(storage, way):
    """Return the state of the program after a restart, a compaction or a copy."""
    if way == "copy":
        index = describe("p", storage.programs["p"], 0.0)
        state = ProgramState()
        for record in list_missing_counts(index, None):
            state.apply(record)
        return state
    if way == "compaction":
        storage.compact()
    again = make_storage(storage.writer.journal.folder)
    again.load()
    return again.programs["p"]


WAYS = ["restart", "compaction", "copy"]


@pytest.mark.parametrize("way", WAYS)
def test_a_turn_under_way_is_known_after(tmp_path, clock, way):
    storage = make_storage(tmp_path)
    storage.write([Reserved("p", "t1", 10, None, TURN_SECONDS)])
    clock.now += 5
    state = rebuild(storage, way)
    clock.now += RETENTION_SECONDS + 1
    assert not state.is_expired(clock.now)
    clock.now += TURN_SECONDS
    assert state.is_expired(clock.now)


# A program none of whose turns had completed could spend its budget once more.
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("is_settled", [False, True])
def test_accounts_are_kept_for_the_retention_of_the_route(
    tmp_path, clock, way, is_settled
):
    storage = make_storage(tmp_path)
    storage.write([Reserved("p", "t1", 10, 100, 0.0, LONGER_SECONDS)])
    if is_settled:
        storage.write([Settled("p", "t1", 4)])
    state = rebuild(storage, way)
    assert (state.spent, state.budget) == (4 if is_settled else 10, 100)
    clock.now += LONGER_SECONDS
    assert not state.is_expired(clock.now)
    clock.now += ANSWER_DELAY_SECONDS + 1
    assert state.is_expired(clock.now)


def test_a_copy_of_accounts_is_made_once(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([Reserved("p", "t1", 10, 100, 0.0, LONGER_SECONDS)])
    storage.write([Settled("p", "t1", 4)])
    index = describe("p", storage.programs["p"], 0.0)
    copied = ProgramState()
    for record in list_missing_counts(index, None):
        copied.apply(record)
    assert list_missing_counts(index, copied) == []
