"""When a holder with a seat counts as gone."""

from __future__ import annotations

from types import SimpleNamespace

import eventlet
import pytest

from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.turns import absent_holders
from cedarchute.turns.absent_holders import (
    ABSENT_TIMEOUT_SECONDS,
    JOINING_SECONDS,
    JOINING_TIMEOUT_SECONDS,
    AbsentHolders,
)
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.messages import Refused
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable

BOXES = ("a", "b", "c")
TABLE = SeatTable(
    4, True, 1, tuple(Seat(box, box, f"disk-{box}", "a") for box in BOXES)
)


class Holders:
    """All are registered; those that are alive answer."""

    def __init__(self):
        self.alive = set(BOXES)
        self.asked = 0
        self.answers_as = {}
        self.on_silence = lambda: None
        self.directory = BoxDirectory()
        for box in BOXES:
            self.directory.put(BoxEntry(box, Role.HOLDER, "a", "region", "", box))

    def ask(self, address, path, message, answer, timeout=None):
        self.asked += 1
        if address in self.alive:
            box = self.answers_as.get(address, address)
            raise HolderRefusedError(Refused("another table", box=box))
        self.on_silence()
        raise HolderUnavailableError(address)


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(absent_holders.time, "monotonic", lambda: clock.now)
    return clock


@pytest.fixture
def holders():
    return Holders()


def test_a_joining_box_does_not_wait_for_the_lease_of_a_holder_that_is_gone(
    clock, holders
):
    absent = AbsentHolders(holders.directory, holders, is_joining=True)
    holders.alive.remove("b")
    assert absent.find_gone(TABLE, range(3)) is None
    clock.now += JOINING_TIMEOUT_SECONDS
    assert absent.find_gone(TABLE, range(3)) == 1


def test_a_joining_box_counts_the_time_that_silent_holders_take(clock, holders):
    absent = AbsentHolders(holders.directory, holders, is_joining=True)
    holders.alive.remove("b")
    holders.on_silence = lambda: setattr(
        clock, "now", clock.now + JOINING_TIMEOUT_SECONDS / 2
    )
    assert absent.find_gone(TABLE, range(3)) is None
    assert absent.find_gone(TABLE, range(3)) == 1
    assert clock.now == 100.0 + JOINING_TIMEOUT_SECONDS


def test_holders_that_are_silent_at_the_same_time_are_asked_side_by_side(holders):
    """The time until a seat is taken does not grow with the machines that are gone."""
    absent = AbsentHolders(holders.directory, holders, is_joining=True)
    waiting = []
    holders.alive.clear()

    def wait_for_all():
        waiting.append("asked")
        with eventlet.Timeout(10.0):
            while len(waiting) < len(BOXES):
                eventlet.sleep(0)

    holders.on_silence = wait_for_all
    assert absent.list_silent(TABLE) == set(BOXES)


def test_a_joining_box_that_stood_still_asks_again(clock, holders):
    absent = AbsentHolders(holders.directory, holders, is_joining=True)
    holders.alive.remove("b")
    holders.on_silence = lambda: setattr(
        clock, "now", clock.now + 2 * JOINING_TIMEOUT_SECONDS
    )
    assert absent.find_gone(TABLE, range(3)) is None
    holders.alive.add("b")
    assert absent.find_gone(TABLE, range(3)) is None


def test_a_joining_box_that_is_cut_off_takes_no_seat(clock, holders):
    absent = AbsentHolders(holders.directory, holders, is_joining=True)
    holders.alive = {"c"}
    assert absent.find_gone(TABLE, range(3)) is None
    clock.now += JOINING_TIMEOUT_SECONDS
    assert absent.find_gone(TABLE, range(3)) is None


def test_a_holder_that_answers_a_joining_box_again_keeps_its_seat(clock, holders):
    absent = AbsentHolders(holders.directory, holders, is_joining=True)
    holders.alive.remove("b")
    assert absent.find_gone(TABLE, range(3)) is None
    holders.alive.add("b")
    clock.now += JOINING_TIMEOUT_SECONDS / 2
    assert absent.find_gone(TABLE, range(3)) is None
    holders.alive.remove("b")
    clock.now += JOINING_TIMEOUT_SECONDS / 2
    assert absent.find_gone(TABLE, range(3)) is None


@pytest.mark.parametrize("is_joining", [True, False])
def test_a_box_that_joined_long_ago_asks_no_registered_holder(
    clock, holders, is_joining
):
    absent = AbsentHolders(holders.directory, holders, is_joining)
    absent.find_gone(TABLE, range(3))
    clock.now += JOINING_SECONDS
    asked = holders.asked
    holders.alive.remove("b")
    assert absent.find_gone(TABLE, range(3)) is None
    clock.now += ABSENT_TIMEOUT_SECONDS
    assert absent.find_gone(TABLE, range(3)) is None
    assert holders.asked == asked


def test_a_restart_of_another_holder_does_not_prolong_the_wait_for_one_that_is_gone(
    clock, holders
):
    absent = AbsentHolders(holders.directory, holders, is_joining=True)
    holders.alive -= {"b", "c"}
    assert absent.find_gone(TABLE, range(3)) is None
    clock.now += JOINING_TIMEOUT_SECONDS
    assert absent.find_gone(TABLE, range(3)) is None
    holders.alive.add("c")
    assert absent.find_gone(TABLE, range(3)) == 1


def test_of_holders_that_went_at_once_the_first_by_name_is_replaced(clock, holders):
    absent = AbsentHolders(holders.directory, holders)
    holders.alive.clear()
    for box in BOXES:
        holders.directory.known.drop(box)
    absent.find_gone(TABLE, range(3))
    clock.now += ABSENT_TIMEOUT_SECONDS
    assert absent.find_gone(TABLE, range(3)) == 0


def test_a_box_at_the_address_of_a_holder_that_is_gone_is_not_taken_for_it(
    clock, holders
):
    holders.directory.known.drop("b")
    holders.answers_as["b"] = "other"
    absent = AbsentHolders(holders.directory, holders)
    assert absent.find_gone(TABLE, range(3)) is None
    clock.now += ABSENT_TIMEOUT_SECONDS
    assert absent.find_gone(TABLE, range(3)) == 1
