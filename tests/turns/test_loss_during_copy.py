"""Kept turns and new ones after a disk is lost while a successor still copies."""

from __future__ import annotations

import pytest
from test_seat_changes import assert_waits, keep_without, site
from test_turn_storage import make_turn

from cedarchute.turns import record_source
from cedarchute.turns.holder_client import HolderUnavailableError

__all__ = ["site"]

STEP_SECONDS = 0.25
# The next disk may be lost this many steps after a successor has its seat.
STEPS_BEFORE_NEXT_LOSS = 16


def form(site, names, losses):
    """Form a system, each of whose holders lacks a turn that the others kept."""
    site.losses = losses
    site.form(*names)
    return [keep_without(site, n, make_turn(f"without-{n}", "", n)) for n in names]


def replace_held_up(site, gone, successors):
    """Remove boxes for good; others take their seats and stand still from then on."""
    site.kill(*gone)
    staying = sorted(site.boxes)
    site.start(*successors)
    waiting = list(successors)
    while waiting:
        site.step(STEP_SECONDS, only=[*staying, *waiting])
        waiting = [name for name in waiting if site.table.find_box(name) is None]
    for _ in range(STEPS_BEFORE_NEXT_LOSS):
        site.step(STEP_SECONDS, only=staying)


def lose_all(site, wiped):
    """Kill every process; all come back, some on an empty disk."""
    names = sorted(site.boxes)
    site.kill(*names)
    site.wipe(*wiped)
    site.start(*names)
    site.settle(20, STEP_SECONDS)


def assert_served(site, kept):
    site.keep(make_turn("next"))
    assert [site.read(turn) for turn in kept] == [t.input + t.output for t in kept]


@pytest.mark.parametrize("lost", ["b", "c"])
def test_a_disk_lost_while_a_successor_copies_stops_no_turn(site, lost):
    kept = form(site, "abc", 1)
    replace_held_up(site, "a", ["new"])
    lose_all(site, lost)
    assert_served(site, kept)


@pytest.mark.parametrize("lost", ["cd", "ce", "de"])
def test_two_disks_lost_while_two_successors_copy_stop_no_turn(site, lost):
    kept = form(site, "abcde", 2)
    replace_held_up(site, "ab", ["new-1", "new-2"])
    lose_all(site, lost)
    assert_served(site, kept)


def test_a_disk_without_its_seat_is_waited_for_if_one_other_was_the_only_one(site):
    site.form(*"ab")
    kept = site.keep(make_turn("kept"))
    replace_held_up(site, "a", ["new"])
    lose_all(site, "b")
    assert_waits(site, kept)
    site.start("a")
    site.settle()
    assert_served(site, [kept])


def test_a_turn_kept_without_one_holder_reaches_it(site):
    site.form(*"abc")
    kept = keep_without(site, "c", make_turn("kept"))
    for _ in range(2):
        site.boxes["c"].exchange.step()
    assert site.boxes["c"].storage.find_turn("kept") == kept


def test_a_copy_that_breaks_off_goes_on_with_what_is_missing(site, monkeypatch):
    monkeypatch.setattr(record_source, "PAGE_BYTES", 1)
    site.form(*"abc")
    kept = [site.keep(make_turn(f"t-{n}", "", f"p-{n}")) for n in range(9)]
    for name in "bcbc":
        site.boxes[name].exchange.step()
    site.kill("a")
    site.wipe("a")
    site.start("a")
    reads = []

    def break_off(path, message):
        if path == "/turns/read":
            reads.append(message.turns)
            if len(reads) == 5:
                raise HolderUnavailableError("broken off")

    site.watch = break_off
    site.settle()
    copied = {turn.turn for turn in kept} - set(reads[4])
    assert len(copied) == 4
    assert not copied & {name for names in reads[5:] for name in names}
    assert site.boxes["a"].holder.caught_up
    assert [site.read(turn) for turn in kept] == [t.input + t.output for t in kept]


def test_a_copy_of_a_program_is_no_use_of_it(site):
    site.form(*"abc")
    kept = keep_without(site, "c", make_turn("kept"))
    site.clock.now += 50.0
    site.boxes["c"].exchange.step()
    site.boxes["c"].exchange.step()
    assert site.boxes["c"].storage.find_turn("kept") == kept
    site.clock.now += 30.0
    assert site.boxes["c"].storage.list_expired() == [kept.program]


def test_a_budget_reaches_the_holder_that_was_away(site):
    site.form(*"abc")
    site.kill("c")
    quorum = site.quorum()
    quorum.begin("p", "t", 5, "", 40)
    quorum.write(make_turn("t"))
    site.start("c")
    site.settle(2, 0.2)
    for _ in range(2):
        site.boxes["c"].exchange.step()
    state = site.boxes["c"].storage.programs["p"]
    assert (state.budget, state.settled, state.open) == (40, {"t": 3}, {})


def test_a_holder_with_a_failed_write_covers_no_seat_before_all_is_durable(site):
    site.form(*"abc")
    writer = site.boxes["b"].storage.writer
    writer.has_failed = True
    segments = writer.journal.list_segments()
    replace_held_up(site, "a", ["new"])
    assert site.table.list_unreleased() == []
    assert not writer.has_failed
    assert not set(segments) & set(writer.journal.list_segments())
