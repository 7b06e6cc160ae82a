"""Kept turns and new ones after a disk is lost while a successor still copies."""

from __future__ import annotations

import pytest
from test_seat_changes import keep_without, site
from test_turn_storage import make_turn

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
