"""Kept turns while seats change hands and disks are lost."""

from __future__ import annotations

from types import SimpleNamespace

import msgspec
import pytest
from seat_site import SeatSite
from test_turn_storage import make_turn

from cedarchute.fleet.followers import SEATS_KEY
from cedarchute.turns import holder_fanout, program_state, seat_manager, turn_quorum
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable

LONG_SECONDS = 1000.0


@pytest.fixture
def site(tmp_path, monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(seat_manager.time, "monotonic", lambda: clock.now)
    monkeypatch.setattr(program_state.time, "monotonic", lambda: clock.now)
    monkeypatch.setattr(turn_quorum, "ANSWER_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(turn_quorum, "FINISH_SECONDS", LONG_SECONDS)
    monkeypatch.setattr(holder_fanout, "RETRY_DELAY_SECONDS", 2 * LONG_SECONDS)
    monkeypatch.setattr(holder_fanout, "HEDGE_SECONDS", LONG_SECONDS)
    return SeatSite(tmp_path, clock)


def keep_without(site, away, turn):
    """Keep a turn on all holders but one, which is there again afterwards."""
    site.kill(away)
    site.keep(turn)
    site.start(away)
    site.settle(2, 0.2)
    return turn


def replace_without_copy(site):
    """Let a spare take the seat of "a", which goes away, and read nothing yet."""
    site.kill("a")
    site.start("spare")
    for _ in range(4):
        site.step(1.0, only=["b", "c"])
    site.step(0.0, only=["spare"])
    site.step(3.0, only=["spare"])
    assert site.table.find_box("spare") is not None


def age_table(site):
    """Write the table of seats as versions did that name no complete disks."""
    seats = tuple(
        Seat(seat.box, seat.address, seat.disk, seat.failure_domain)
        for seat in site.table.seats
    )
    older = SeatTable(site.table.version + 1, True, site.losses, seats)
    text = msgspec.json.encode(older).decode()
    site.store.swap(SEATS_KEY, text, site.store.entry.version)


def assert_waits(site, turn):
    """A turn that is not readable is not denied either."""
    with pytest.raises(NoQuorumError):
        site.read(turn)


def test_a_seat_taken_while_another_disk_is_lost_waits_for_the_disk_away(site):
    site.form("a", "b", "c")
    kept = keep_without(site, "c", make_turn("kept"))
    site.kill("a", "b")
    site.wipe("b")
    site.start("b", "spare")
    site.settle()
    assert_waits(site, kept)
    site.start("a")
    site.settle()
    assert site.read(kept) == b"in-keptout-kept"


def test_a_disk_lost_after_a_spare_took_a_seat_waits_for_the_disk_away(site):
    site.form("a", "b", "c")
    kept = keep_without(site, "c", make_turn("kept"))
    replace_without_copy(site)
    site.kill("b")
    site.wipe("b")
    site.start("b")
    site.settle()
    assert_waits(site, kept)
    site.start("a")
    site.settle()
    assert site.read(kept) == b"in-keptout-kept"


def test_two_seats_taken_in_a_row_forget_no_turn(site):
    site.form("a", "b", "c")
    kept = keep_without(site, "c", make_turn("kept"))
    site.kill("a", "b")
    site.start("spare-1", "spare-2")
    site.settle()
    assert_waits(site, kept)
    site.start("a")
    site.settle()
    assert site.read(kept) == b"in-keptout-kept"
    site.start("b")
    site.settle()
    assert site.read(kept) == b"in-keptout-kept"


def test_two_seats_taken_after_a_change_of_versions_forget_no_turn(site):
    site.form("a", "b", "c")
    kept = keep_without(site, "c", make_turn("kept"))
    site.kill("a", "b")
    site.wipe("b")
    site.start("b")
    site.step(0.0, only=["b"])
    age_table(site)
    site.kill("b", "c")
    site.start("b", "c")
    site.settle(3, 0.2)
    site.kill("b")
    site.start("spare-1", "spare-2")
    site.settle()
    site.start("b")
    site.settle()
    assert_waits(site, kept)
    site.start("a")
    site.settle()
    assert site.read(kept) == b"in-keptout-kept"


def test_a_disk_lost_beside_a_holder_that_is_emptied_reads_its_records(site):
    site.form("a", "b", "c")
    kept = keep_without(site, "c", make_turn("kept"))
    site.retirements.asked.add("a")
    site.step(0.0, only=["a"])
    assert site.table.find_box("a") is None
    site.kill("b")
    site.wipe("b")
    site.start("b")
    site.step(0.0, only=["b"])
    site.step(0.2, only=["b"])
    site.step(0.2, only=["b"])
    assert site.read(kept) == b"in-keptout-kept"
    site.settle()
    assert site.retired == ["a"]
    site.kill("a")
    assert site.read(kept) == b"in-keptout-kept"


# A new box took the vacant seat and left its own to a machine that never came back, so
# one lost disk stopped all turns for good.
@pytest.mark.parametrize("lost", ["c", "new"])
@pytest.mark.parametrize("replaced", ["b", "c"])
def test_a_disk_lost_after_a_holder_was_emptied_and_another_replaced(
    site, replaced, lost
):
    if lost == replaced:
        lost = "b"
    site.form("a", "b", "c")
    kept = keep_without(site, "c", make_turn("kept"))
    site.retirements.asked.add("a")
    site.settle()
    assert site.retired == ["a"]
    site.kill("a", replaced)
    site.start("new")
    site.settle()
    assert site.table.find_box(replaced) is None
    site.kill(lost)
    site.wipe(lost)
    site.start(lost)
    site.settle()
    assert site.read(kept) == b"in-keptout-kept"
    site.keep(make_turn("next"))


def test_a_holder_is_not_emptied_while_another_disk_is_filled_again(site):
    site.form("a", "b", "c")
    kept = keep_without(site, "c", make_turn("kept"))
    site.kill("b")
    site.wipe("b")
    site.start("b")
    site.step(0.0, only=["b"])
    site.retirements.asked.add("a")
    site.step(0.0, only=["a"])
    assert site.table.find_box("a") is not None
    site.settle()
    assert site.retired == ["a"]
    site.kill("a")
    assert site.read(kept) == b"in-keptout-kept"


def test_a_holder_that_restarts_while_it_cannot_be_emptied_serves(site):
    site.form("a", "b", "c")
    kept = keep_without(site, "c", make_turn("kept"))
    site.kill("b")
    site.wipe("b")
    site.start("b")
    site.step(0.0, only=["b"])
    site.retirements.asked.add("a")
    site.kill("a", "c")
    site.start("a")
    site.settle(3, 0.1)
    assert site.boxes["a"].holder.caught_up
    site.start("c")
    site.settle()
    assert site.read(kept) == b"in-keptout-kept"
    assert site.retired == ["a"]


def test_a_disk_that_another_seat_needs_takes_no_further_seat(site):
    site.form("a", "b", "c")
    kept = keep_without(site, "c", make_turn("kept"))
    replace_without_copy(site)
    site.kill("b")
    site.start("a")
    for _ in range(6):
        site.step(1.0, only=["a", "c"])
    site.kill("a")
    site.wipe("a")
    site.start("a")
    site.settle()
    site.start("b")
    site.settle()
    assert site.read(kept) == b"in-keptout-kept"


def test_an_emptied_disk_does_not_serve_under_an_older_table_again(site):
    site.form("a", "b", "c")
    older = site.table
    site.retirements.asked.add("a")
    site.step(0.0, only=["a"])
    site.retirements.tell_completed = lambda box: site.kill("a")
    for _ in range(5):
        if "a" in site.boxes:
            site.step(1.0, only=["a"])
    assert site.table.seats[older.find_box("a")].is_released
    site.retirements.asked.clear()
    site.start("a")
    # Another box that does not hear the store, either, still has the older table.
    site.boxes["a"].seats.update(older, "peer")
    site.boxes["a"].manager.step()
    assert not site.boxes["a"].holder.caught_up


def test_no_seat_of_a_serving_holder_is_taken_while_another_disk_is_incomplete(site):
    site.form("a", "b", "c")
    site.kill("b")
    site.wipe("b")
    site.start("b")
    site.step(0.0, only=["b"])
    site.retirements.asked.add("a")
    site.start("spare")
    site.step(0.0, only=["spare"])
    assert site.table.find_box("a") is not None
    site.keep(make_turn("kept"))
    site.settle()
    assert site.retired == ["a"]


def test_a_holder_to_be_emptied_that_lost_its_disk_serves_while_it_is_needed(site):
    site.form("a", "b", "c")
    site.retirements.asked.update(("a", "b"))
    site.settle(4)
    assert site.retired == ["a"]
    kept = site.keep(make_turn("kept"))
    site.kill("b")
    site.wipe("b")
    site.start("b")
    site.settle()
    site.keep(make_turn("next", "kept"))
    assert site.read(kept) == b"in-keptout-kept"


def test_a_holder_that_is_asked_again_after_a_withdrawal_is_emptied_again(site):
    site.form("a", "b", "c")
    site.retirements.asked.add("a")
    site.settle()
    site.retirements.asked.clear()
    site.settle()
    assert site.table.find_box("a") is not None
    kept = keep_without(site, "c", make_turn("kept"))
    site.retirements.asked.add("a")
    site.settle()
    assert site.table.find_box("a") is None
    assert site.retired == ["a", "a"]
    site.kill("a")
    assert site.read(kept) == b"in-keptout-kept"


def test_a_box_replaced_before_the_seats_are_final_counts_as_no_loss(site):
    site.start("a", "b", "c")
    for _ in range(3):
        site.step(0.5)
    assert len(site.table.seats) == 3
    assert not site.table.closed
    site.kill("b")
    site.start("successor")
    site.settle()
    kept = site.keep(make_turn("kept"))
    site.kill("a")
    site.wipe("a")
    site.start("a")
    site.settle()
    assert site.read(kept) == b"in-keptout-kept"
    site.keep(make_turn("next"))


def test_a_box_that_is_cut_off_leaves_nobody_out_of_a_new_system(site):
    names = ["a", "b", "c", "d", "e"]
    site.start(*names)
    for _ in range(3):
        site.step(0.5)
    assert len(site.table.seats) == len(names)
    site.kill("d", "e")
    site.settle()
    assert site.table.closed
    assert {seat.box for seat in site.table.seats} == set(names)


def test_a_new_system_of_few_holders_keeps_the_seat_of_one_that_is_away(site):
    site.start("a", "b", "c")
    for _ in range(3):
        site.step(0.5)
    site.kill("b")
    site.settle()
    assert {seat.box for seat in site.table.seats} == {"a", "b", "c"}
    site.start("b")
    site.settle()
    assert site.boxes["b"].holder.caught_up
