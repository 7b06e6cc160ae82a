from __future__ import annotations

from types import SimpleNamespace

import pytest

from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.turns import seat_manager
from cedarchute.turns.absent_holders import (
    ABSENT_TIMEOUT_SECONDS,
    JOINING_TIMEOUT_SECONDS,
    AbsentHolders,
)
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.disk_identity import DiskIdentity
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.messages import Refused
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_manager import SeatManager
from cedarchute.turns.seat_table import SeatTable


class ScriptedClient:
    """Holders that reject requests or cannot be reached."""

    def __init__(self, alive):
        self.alive = alive

    def ask(self, address, path, message, answer, timeout=None):
        if address in self.alive:
            raise HolderRefusedError(Refused("another table"))
        raise HolderUnavailableError(address)


def make_holder(**state):
    return SimpleNamespace(
        may_use=lambda table: True, persist_table_version=lambda: None, **state
    )


def make_manager(registered, alive, asked=(), vacant=()):
    seats = tuple(
        Seat() if box in vacant else Seat(box, box, f"disk-{box}", "a")
        for box in ("a", "b", "c")
    )
    table = SeatTable(4, True, 1, seats)
    active_table = ActiveSeatTable()
    active_table.update(table, "test")
    directory = BoxDirectory()
    for box in registered:
        directory.put(BoxEntry(box, Role.HOLDER, "a", "region", "", box))
    manager = SeatManager(
        store=None,
        seats=active_table,
        holder=make_holder(caught_up=False),
        identity=SimpleNamespace(complete=False),
        folder=None,
        own_seat=Seat("new", "new", "disk-new", "a"),
        losses=1,
        catch_up=None,
        directory=directory,
        retirements=SimpleNamespace(asked=set(asked)),
        coverage=None,
        absent_holders=AbsentHolders(directory, ScriptedClient(alive)),
    )
    return manager, table


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(seat_manager.time, "monotonic", lambda: clock.now)
    return clock


def test_no_seat_is_taken_from_a_holder_that_is_registered(clock):
    manager, table = make_manager(("a", "b", "c"), ())
    manager.find_free_seat(table)
    clock.now += 60
    assert manager.find_free_seat(table) is None


def test_a_holder_that_lost_its_entry_but_answers_keeps_its_seat(clock):
    manager, table = make_manager(("a",), ("b",))
    assert manager.find_free_seat(table) is None
    clock.now += ABSENT_TIMEOUT_SECONDS + 1
    assert manager.find_free_seat(table) == 2


def test_a_restart_is_waited_for(clock):
    manager, table = make_manager(("a", "b"), ())
    assert manager.find_free_seat(table) is None
    clock.now += ABSENT_TIMEOUT_SECONDS / 2
    assert manager.find_free_seat(table) is None


def test_the_first_that_went_is_replaced_first(clock):
    manager, table = make_manager(("a", "b"), ())
    manager.absent_holders.update(table)
    clock.now += 1
    manager.directory.known.drop("a")
    manager.absent_holders.update(table)
    clock.now += ABSENT_TIMEOUT_SECONDS + 1
    assert manager.find_free_seat(table) == 2


def test_the_seat_of_a_holder_to_be_emptied_is_free(clock):
    manager, table = make_manager(("a", "b", "c"), ("a", "b", "c"), asked=("b",))
    assert manager.find_free_seat(table) == 1


def test_a_holder_that_is_gone_is_replaced_before_a_vacant_seat_is_taken(clock):
    manager, table = make_manager(("b", "c"), ("b",), vacant=("a",))
    manager.directory.known.drop("c")
    assert manager.find_free_seat(table) is None
    clock.now += ABSENT_TIMEOUT_SECONDS + 1
    assert manager.find_free_seat(table) == 2


def test_a_vacant_seat_is_taken_once_a_holder_that_restarts_is_back(clock):
    manager, table = make_manager(("b",), ("b",), vacant=("a",))
    assert manager.find_free_seat(table) is None
    manager.directory.put(BoxEntry("c", Role.HOLDER, "a", "region", "", "c"))
    assert manager.find_free_seat(table) == 0


def test_a_holder_without_an_entry_that_answers_delays_no_vacant_seat_for_long(clock):
    manager, table = make_manager(("b",), ("b", "c"), vacant=("a",))
    assert manager.find_free_seat(table) is None
    clock.now += ABSENT_TIMEOUT_SECONDS + 1
    assert manager.find_free_seat(table) == 0


def test_a_box_that_is_cut_off_waits_for_no_holder(clock):
    manager, table = make_manager((), (), vacant=("a",))
    assert manager.find_free_seat(table) == 0


@pytest.mark.parametrize(("alive", "seat"), [(("b",), 2), (("b", "c"), 0)])
def test_a_joining_box_asks_the_holders_before_it_takes_a_vacant_seat(
    clock, alive, seat
):
    manager, table = make_manager(("b", "c"), alive, vacant=("a",))
    client = manager.absent_holders.client
    manager.absent_holders = AbsentHolders(manager.directory, client, is_joining=True)
    found = manager.find_free_seat(table)
    assert found == (0 if seat == 0 else None)
    clock.now += JOINING_TIMEOUT_SECONDS
    assert manager.find_free_seat(table) == seat


def join_new_table(manager, boxes, losses):
    """Give a manager the first seat of a new table; return the tables it writes."""
    changes = []
    seats = tuple(Seat(box, box, f"disk-{box}", "a") for box in boxes)
    manager.seats = ActiveSeatTable()
    manager.seats.update(SeatTable(1, False, losses, seats), "test")
    manager.losses = losses
    manager.own_seat = seats[0]
    manager.write_table = changes.append
    return changes


@pytest.mark.parametrize("boxes", ["abc", "abcd"])
def test_fewer_holders_than_losses_need_serve_all_the_same(clock, boxes):
    manager, _ = make_manager(boxes, boxes)
    changes = join_new_table(manager, boxes, losses=2)
    manager.step()
    clock.now += seat_manager.JOIN_SECONDS + 0.1
    manager.step()
    assert changes == []
    clock.now += seat_manager.UNDERSIZED_EXTRA_SECONDS
    manager.step()
    assert [(table.closed, len(table.seats)) for table in changes] == [
        (True, len(boxes))
    ]


def test_holders_that_could_all_be_lost_at_once_keep_nothing(clock):
    manager, _ = make_manager("ab", "ab")
    changes = join_new_table(manager, "ab", losses=2)
    manager.step()
    clock.now += 600
    manager.step()
    assert changes == []


def test_the_table_stays_open_for_a_holder_that_has_yet_to_take_its_seat(clock):
    manager, _ = make_manager("abcd", "abcd")
    changes = join_new_table(manager, "abc", losses=2)
    manager.step()
    clock.now += 600
    manager.step()
    assert changes == []


@pytest.mark.parametrize("losses", [1, 2, 3])
@pytest.mark.parametrize("more", range(1, 9))
def test_what_a_quorum_keeps_outlives_the_losses_and_is_found(losses, more):
    count = losses + more
    seats = tuple(Seat(f"h{n}", f"h{n}", f"d{n}", "a") for n in range(count))
    table = SeatTable(4, True, losses, seats)
    assert table.quorum > losses
    assert 2 * table.quorum > table.replication_factor
    assert table.quorum <= table.replication_factor


def retire(manager, box):
    """Make a manager that of a retiring holder; return the tables it writes."""
    changes = []
    manager.holder.caught_up = True
    manager.own_seat = Seat(box, box, f"disk-{box}", "a")
    manager.write_table = changes.append
    manager.retirements = SimpleNamespace(asked={box}, tell_started=lambda box: None)
    return changes


def test_a_holder_that_is_emptied_vacates_its_seat(clock):
    manager, _ = make_manager(("a", "b", "c"), ())
    changes = retire(manager, "b")
    manager.step()
    assert [seat.box for seat in changes[0].seats] == ["a", "", "c"]


def test_a_seat_is_kept_while_one_more_vacant_would_leave_no_quorum(clock):
    manager, _ = make_manager(("b", "c"), (), vacant=("a",))
    changes = retire(manager, "b")
    for _ in range(3):
        manager.step()
        clock.now += seat_manager.SUCCESSOR_WAIT_SECONDS + 1
    assert changes == []
    # After a spare has taken the vacant seat, this one can be vacated.
    table = manager.seats.table
    manager.directory.put(BoxEntry("d", Role.HOLDER, "a", "region", "", "d"))
    manager.seats.update(table.replace_seat(0, Seat("d", "d", "disk-d", "a")), "test")
    manager.step()
    assert [seat.box for seat in changes[0].seats] == ["d", "", "c"]


def test_a_disk_that_comes_back_after_its_seat_was_taken_catches_up(clock, tmp_path):
    manager, table = make_manager(("a", "c"), ())
    DiskIdentity("disk-new", complete=True).save(tmp_path)
    manager.folder = tmp_path
    manager.identity = DiskIdentity.load(tmp_path)
    manager.holder = make_holder(caught_up=True, is_disk_complete=True)
    manager.write_table = lambda new: manager.seats.update(new, "test")
    manager.catch_up = SimpleNamespace(run_once=lambda number: False)
    manager.step()
    clock.now += ABSENT_TIMEOUT_SECONDS + 1
    manager.step()
    assert manager.seats.table.find_disk("disk-new") == 1
    manager.step()
    assert not manager.holder.caught_up
    assert not manager.holder.is_disk_complete
    assert not DiskIdentity.load(tmp_path).complete


def test_a_restarted_holder_without_a_seat_does_not_poll_as_if_it_were_starting():
    manager, table = make_manager(("a", "b", "c"), ())
    manager.identity = SimpleNamespace(complete=True)
    assert not manager.is_starting()
    own = table.seats[1]
    manager.own_seat = own
    assert manager.is_starting()
