from __future__ import annotations

from types import SimpleNamespace

import pytest

from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.turns import seat_keeper
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.messages import Refused
from cedarchute.turns.seat_book import SeatBook
from cedarchute.turns.seat_keeper import SeatKeeper
from cedarchute.turns.seat_table import Seat, SeatTable


class ScriptedClient:
    """Holders that answer, or do not."""

    def __init__(self, alive):
        self.alive = alive

    def ask(self, address, path, message, answer):
        if address in self.alive:
            raise HolderRefusedError(Refused("another table"))
        raise HolderUnavailableError(address)


def make_keeper(registered, alive, asked=(), vacant=()):
    seats = tuple(
        Seat() if box in vacant else Seat(box, box, f"disk-{box}", "a")
        for box in ("a", "b", "c")
    )
    table = SeatTable(4, True, 1, seats)
    book = SeatBook()
    book.offer(table, "test")
    directory = BoxDirectory()
    for box in registered:
        directory.put(BoxEntry(box, Role.HOLDER, "a", "region", "", box))
    keeper = SeatKeeper(
        store=None,
        seats=book,
        holder=SimpleNamespace(caught_up=False),
        identity=SimpleNamespace(complete=False),
        folder=None,
        me=Seat("new", "new", "disk-new", "a"),
        losses=1,
        catch_up=None,
        directory=directory,
        retirements=SimpleNamespace(asked=set(asked)),
        evacuation=None,
        client=ScriptedClient(alive),
    )
    return keeper, table


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(seat_keeper.time, "monotonic", lambda: clock.now)
    return clock


def test_no_seat_is_taken_from_a_holder_that_is_registered(clock):
    keeper, table = make_keeper(("a", "b", "c"), ())
    keeper.find_free(table)
    clock.now += 60
    assert keeper.find_free(table) is None


def test_a_holder_that_lost_its_entry_but_answers_keeps_its_seat(clock):
    keeper, table = make_keeper(("a",), ("b",))
    assert keeper.find_free(table) is None
    clock.now += seat_keeper.ABSENT_SECONDS + 1
    assert keeper.find_free(table) == 2


def test_a_restart_is_waited_for(clock):
    keeper, table = make_keeper(("a", "b"), ())
    assert keeper.find_free(table) is None
    clock.now += seat_keeper.ABSENT_SECONDS / 2
    assert keeper.find_free(table) is None


def test_the_first_that_went_is_replaced_first(clock):
    keeper, table = make_keeper(("a", "b"), ())
    keeper.note_absent(table)
    clock.now += 1
    keeper.directory.known.drop("a")
    keeper.note_absent(table)
    clock.now += seat_keeper.ABSENT_SECONDS + 1
    assert keeper.find_free(table) == 2


def test_the_seat_of_a_holder_to_be_emptied_is_free(clock):
    keeper, table = make_keeper(("a", "b", "c"), ("a", "b", "c"), asked=("b",))
    assert keeper.find_free(table) == 1


def make_leaving(keeper, box):
    """Let a keeper be that of a holder that is to be emptied; return its changes."""
    changes = []
    keeper.me = Seat(box, box, f"disk-{box}", "a")
    keeper.change = changes.append
    keeper.retirements = SimpleNamespace(asked={box}, tell_started=lambda box: None)
    return changes


def test_a_holder_that_is_emptied_vacates_its_seat(clock):
    keeper, _ = make_keeper(("a", "b", "c"), ())
    changes = make_leaving(keeper, "b")
    keeper.step()
    assert [seat.box for seat in changes[0].seats] == ["a", "", "c"]


def test_a_seat_is_kept_while_one_more_vacant_would_leave_no_quorum(clock):
    keeper, _ = make_keeper(("b", "c"), (), vacant=("a",))
    changes = make_leaving(keeper, "b")
    for _ in range(3):
        keeper.step()
        clock.now += seat_keeper.SUCCESSOR_SECONDS + 1
    assert changes == []
    # A spare takes the vacant seat, and then this one may go.
    table = keeper.seats.table
    keeper.seats.offer(table.replace_seat(0, Seat("d", "d", "disk-d", "a")), "test")
    keeper.step()
    assert [seat.box for seat in changes[0].seats] == ["d", "", "c"]
