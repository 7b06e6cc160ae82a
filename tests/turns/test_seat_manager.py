from __future__ import annotations

from types import SimpleNamespace

import pytest

from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.turns import seat_manager
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.messages import Refused
from cedarchute.turns.seat_manager import SeatManager
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
    book = ActiveSeatTable()
    book.update(table, "test")
    directory = BoxDirectory()
    for box in registered:
        directory.put(BoxEntry(box, Role.HOLDER, "a", "region", "", box))
    keeper = SeatManager(
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
    monkeypatch.setattr(seat_manager.time, "monotonic", lambda: clock.now)
    return clock


def test_no_seat_is_taken_from_a_holder_that_is_registered(clock):
    keeper, table = make_keeper(("a", "b", "c"), ())
    keeper.find_free(table)
    clock.now += 60
    assert keeper.find_free(table) is None


def test_a_holder_that_lost_its_entry_but_answers_keeps_its_seat(clock):
    keeper, table = make_keeper(("a",), ("b",))
    assert keeper.find_free(table) is None
    clock.now += seat_manager.ABSENT_SECONDS + 1
    assert keeper.find_free(table) == 2


def test_a_restart_is_waited_for(clock):
    keeper, table = make_keeper(("a", "b"), ())
    assert keeper.find_free(table) is None
    clock.now += seat_manager.ABSENT_SECONDS / 2
    assert keeper.find_free(table) is None


def test_the_first_that_went_is_replaced_first(clock):
    keeper, table = make_keeper(("a", "b"), ())
    keeper.note_absent(table)
    clock.now += 1
    keeper.directory.known.drop("a")
    keeper.note_absent(table)
    clock.now += seat_manager.ABSENT_SECONDS + 1
    assert keeper.find_free(table) == 2


def test_the_seat_of_a_holder_to_be_emptied_is_free(clock):
    keeper, table = make_keeper(("a", "b", "c"), ("a", "b", "c"), asked=("b",))
    assert keeper.find_free(table) == 1


def make_open(keeper, boxes, losses):
    """Let a keeper hold the first seat of a new table; return its changes."""
    changes = []
    seats = tuple(Seat(box, box, f"disk-{box}", "a") for box in boxes)
    keeper.seats = ActiveSeatTable()
    keeper.seats.update(SeatTable(1, False, losses, seats), "test")
    keeper.losses = losses
    keeper.me = seats[0]
    keeper.change = changes.append
    return changes


@pytest.mark.parametrize("boxes", ["abc", "abcd"])
def test_fewer_holders_than_losses_need_serve_all_the_same(clock, boxes):
    keeper, _ = make_keeper(boxes, boxes)
    changes = make_open(keeper, boxes, losses=2)
    keeper.step()
    clock.now += seat_manager.OPEN_SECONDS + 0.1
    keeper.step()
    assert changes == []
    clock.now += seat_manager.FEW_SECONDS
    keeper.step()
    assert [(table.closed, len(table.seats)) for table in changes] == [
        (True, len(boxes))
    ]


def test_holders_that_could_all_be_lost_at_once_keep_nothing(clock):
    keeper, _ = make_keeper("ab", "ab")
    changes = make_open(keeper, "ab", losses=2)
    keeper.step()
    clock.now += 600
    keeper.step()
    assert changes == []


def test_the_table_stays_open_for_a_holder_that_has_yet_to_take_its_seat(clock):
    keeper, _ = make_keeper("abcd", "abcd")
    changes = make_open(keeper, "abc", losses=2)
    keeper.step()
    clock.now += 600
    keeper.step()
    assert changes == []


@pytest.mark.parametrize("losses", [1, 2, 3])
@pytest.mark.parametrize("more", range(1, 9))
def test_what_a_quorum_keeps_outlives_the_losses_and_is_found(losses, more):
    count = losses + more
    seats = tuple(Seat(f"h{n}", f"h{n}", f"d{n}", "a") for n in range(count))
    table = SeatTable(4, True, losses, seats)
    assert table.quorum > losses
    assert 2 * table.quorum > table.copies
    assert table.quorum <= table.copies


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
        clock.now += seat_manager.SUCCESSOR_SECONDS + 1
    assert changes == []
    # A spare takes the vacant seat, and then this one may go.
    table = keeper.seats.table
    keeper.seats.update(table.replace_seat(0, Seat("d", "d", "disk-d", "a")), "test")
    keeper.step()
    assert [seat.box for seat in changes[0].seats] == ["d", "", "c"]
