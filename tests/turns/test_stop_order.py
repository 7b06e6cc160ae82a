"""Which holder may stop while others restart or stop as well."""

from __future__ import annotations

import time

import eventlet
import pytest
from test_turn_storage import make_storage

from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.holder import Holder, HolderError
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.messages import Refused, StopPhase
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable
from cedarchute.turns.seat_version_file import SeatVersionFile
from cedarchute.turns.stop_order import StopOrder

HANG_SECONDS = 10.0


class Holders:
    """Holders in one process; some cannot be reached."""

    def __init__(self, folder, losses=1, vacant=0):
        names = "abcde"[: 2 * losses + 1]
        seats = [Seat(name, name, f"disk-{name}", "a") for name in names]
        seats[len(seats) - vacant :] = [Seat()] * vacant
        self.table = ActiveSeatTable()
        self.table.update(SeatTable(2, True, losses, tuple(seats)), "test")
        self.holders = {}
        self.down = set()
        for name in names:
            (folder / name).mkdir()
            self.holders[name] = Holder(
                make_storage(folder / name),
                self.table,
                f"disk-{name}",
                SeatVersionFile(folder / name),
            )
            self.holders[name].caught_up = True

    def ask(self, address, path, message, answer, timeout):
        if address in self.down:
            raise HolderUnavailableError(address)
        try:
            return self.holders[address].read_presence(message)
        except HolderError as error:
            raise HolderRefusedError(Refused(error.reason)) from None

    def order(self, name):
        return StopOrder(self, self.table, self.holders[name])

    def may_stop(self, name):
        return self.order(name).may_stop()

    def mark(self, phase, *names):
        for name in names:
            self.holders[name].stop_phase = phase


@pytest.fixture
def holders(tmp_path):
    return Holders(tmp_path)


def test_a_holder_stops_while_all_others_serve(holders):
    assert all(holders.may_stop(name) for name in "abc")


@pytest.mark.parametrize("other", "ac")
def test_a_holder_waits_for_one_that_is_away_starting_or_stopping(holders, other):
    holders.down = {other}
    assert not holders.may_stop("b")
    holders.down = set()
    holders.holders[other].caught_up = False
    assert not holders.may_stop("b")
    holders.holders[other].caught_up = True
    holders.mark(StopPhase.STOPPING, other)
    assert not holders.may_stop("b")
    holders.mark(StopPhase.NONE, other)
    assert holders.may_stop("b")


def test_of_several_that_wait_one_stops(holders):
    holders.mark(StopPhase.WAITING, *"abc")
    assert [holders.may_stop(name) for name in "abc"] == [True, False, False]


def test_as_many_stop_at_once_as_quorums_bear(tmp_path):
    holders = Holders(tmp_path, losses=2)
    holders.mark(StopPhase.WAITING, *"abcde")
    assert [holders.may_stop(name) for name in "abcde"] == [True, True, *[False] * 3]
    holders.mark(StopPhase.STOPPING, "a", "b")
    assert not any(holders.may_stop(name) for name in "cde")


def test_a_vacant_seat_counts_as_a_holder_that_is_away(tmp_path):
    assert not Holders(tmp_path, vacant=1).may_stop("a")


def test_a_holder_that_serves_nothing_waits_for_none(holders):
    holders.down = set("ac")
    holders.holders["b"].caught_up = False
    assert holders.may_stop("b")
    holders.holders["b"].caught_up = True
    holders.holders["b"].disk = "disk-without-a-seat"
    assert holders.may_stop("b")


def test_a_stop_goes_on_at_its_deadline_without_the_others(holders):
    holders.down = set("ac")
    with eventlet.Timeout(HANG_SECONDS):
        holders.order("b").wait(time.monotonic() + 0.3)
    assert holders.holders["b"].stop_phase is StopPhase.STOPPING


def test_a_stop_goes_on_once_the_other_is_back(holders):
    holders.down = {"a"}
    eventlet.spawn_after(0.3, holders.down.clear)
    with eventlet.Timeout(HANG_SECONDS):
        holders.order("b").wait(time.monotonic() + 2 * HANG_SECONDS)
    assert holders.holders["b"].stop_phase is StopPhase.STOPPING
