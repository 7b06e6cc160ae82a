"""What holders let in while turns with long texts are under way."""

from __future__ import annotations

import pytest
from test_holder import make_holder
from test_seat_changes import site

from cedarchute.turns.holder import HolderError
from cedarchute.turns.messages import BeginTurn, TakeRecords
from cedarchute.turns.program_state import (
    SMALL_TEXT_BYTES,
    TRANSFER_COPIES,
)
from cedarchute.turns.records import Settled, Turn
from cedarchute.turns.turn_terms import TurnTerms

LONG_BYTES = SMALL_TEXT_BYTES + 1
TURNS = 5


__all__ = ["site"]


@pytest.fixture
def holder(tmp_path):
    holder = make_holder(tmp_path)
    # The last of so many long turns has room for its text and its tables.
    holder.max_stored_bytes = TURNS * TRANSFER_COPIES * LONG_BYTES + 20_000
    return holder


def begin(holder, number, input_bytes=LONG_BYTES):
    message = BeginTurn(
        table_version=3,
        disk="disk-1",
        program=f"p{number}",
        turn=f"t{number}",
        tokens=10,
        input_bytes=input_bytes,
    )
    holder.begin_turn(message)


def take(holder, record):
    message = TakeRecords(table_version=3, disk="disk-1", records=(record,))
    holder.take_records(message)


def fill(holder):
    """Let turns in until one is refused; return how many there are."""
    for number in range(100):
        try:
            begin(holder, number)
        except HolderError as error:
            assert error.is_full
            return number
    return 100


# A burst of long turns ended holders by memory: all were let in before one had ended.
def test_no_more_long_turns_are_let_in_at_once_than_there_is_room_for(holder):
    assert fill(holder) == TURNS
    assert "p5" not in holder.storage.programs


def test_a_turn_that_ends_makes_room(holder):
    fill(holder)
    take(holder, Settled("p0", "t0", 0))
    begin(holder, 10)
    take(holder, Turn("p1", "t1", "", b"z" * LONG_BYTES, b"", 3, "t", 60.0))
    with pytest.raises(HolderError):
        begin(holder, 11)
    take(holder, Settled("p2", "t2", 0))
    begin(holder, 11)


def test_stored_texts_count_beside_those_under_way(holder):
    for number in range(TURNS):
        text = b"z" * LONG_BYTES
        take(holder, Turn(f"s{number}", f"s{number}", "", text, b"", 3, "t", 60.0))
    assert 0 < fill(holder) < TURNS


def test_a_reservation_that_is_asked_for_again_counts_once(holder):
    fill(holder)
    held = holder.storage.held_bytes
    begin(holder, 0)
    assert holder.storage.held_bytes == held


def test_short_turns_have_room_beside_a_crowd_of_long_ones(holder):
    fill(holder)
    begin(holder, 20, 10)


@pytest.mark.parametrize("text", [b"", b"z" * LONG_BYTES])
def test_nothing_is_counted_for_long_after_all_is_over(holder, text):
    before = holder.storage.held_bytes
    begin(holder, 1, len(text))
    take(holder, Turn("p1", "t1", "", text, b"", 3, "t", 60.0))
    holder.storage.drop("p1")
    assert holder.storage.held_bytes == before


def test_turns_under_way_are_counted_after_a_restart(holder, tmp_path):
    fill(holder)
    again = make_holder(tmp_path)
    again.storage.load()
    assert again.storage.held_bytes == holder.storage.held_bytes


def test_a_quorum_of_holders_counts_a_turn_that_an_entry_begins(site):
    site.form("a", "b", "c")
    terms = TurnTerms(input_bytes=LONG_BYTES)
    site.quorum().begin("p", "t", 10, "", None, terms)
    held = [box.storage.held_bytes for box in site.boxes.values()]
    assert sum(size > TRANSFER_COPIES * LONG_BYTES for size in held) == 2
