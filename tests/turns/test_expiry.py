from __future__ import annotations

from itertools import permutations
from types import SimpleNamespace

import pytest
from test_turn_storage import make_storage, make_turn

from cedarchute.turns import program_state, turn_quorum
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.expiry import Expiry
from cedarchute.turns.holder import Holder, HolderError
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.messages import Refused
from cedarchute.turns.records import Reserved
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable
from cedarchute.turns.seat_version_file import SeatVersionFile

NAMES = ("a", "b", "c")
RETENTION_SECONDS = 60.0 + program_state.ANSWER_DELAY_SECONDS


class DirectClient:
    """Other holders, in this process; some cannot be reached."""

    def __init__(self):
        self.holders = {}
        self.down = set()

    def ask(self, address, path, message, answer):
        if address in self.down:
            raise HolderUnavailableError(address)
        try:
            return self.holders[address].read_idle_times(message)
        except HolderError as error:
            raise HolderRefusedError(Refused(error.reason)) from None


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(program_state.time, "monotonic", lambda: clock.now)
    return clock


@pytest.fixture
def site(tmp_path, clock):
    seats = tuple(Seat(name, name, f"disk-{name}", "a") for name in NAMES)
    table = ActiveSeatTable()
    table.update(SeatTable(2, True, 1, seats), "test")
    client = DirectClient()
    for name in NAMES:
        folder = tmp_path / name
        folder.mkdir()
        storage = make_storage(folder)
        version_file = SeatVersionFile(folder)
        holder = Holder(storage, table, f"disk-{name}", version_file)
        holder.caught_up = True
        client.holders[name] = holder
    return client


def expire(site, name):
    holder = site.holders[name]
    Expiry(site, holder.storage, holder.seats, holder.disk).run_once()
    return set(holder.storage.turn_index)


def write(site, names, turn, previous=""):
    for name in names:
        site.holders[name].storage.write([make_turn(turn, previous)])


@pytest.mark.parametrize("down", ["", "b", "c"])
def test_a_turn_is_kept_while_others_go_on_from_it_without_this_holder(
    site, clock, down
):
    write(site, "ab", "t1")
    clock.now += RETENTION_SECONDS - 1
    write(site, "bc", "t2", "t1")
    clock.now += 2
    site.down = {down}
    assert expire(site, "a") == {"t1"}


@pytest.mark.parametrize("names", list(permutations(NAMES)))
def test_a_turn_is_kept_while_another_program_goes_on_from_it(site, clock, names):
    """Only the holder that both quorums share knows that the turn is in use."""
    without, keeping, shared = names
    write(site, [keeping, shared], "t1")
    clock.now += RETENTION_SECONDS - 1
    for name in (without, shared):
        site.holders[name].storage.write([make_turn("t2", "t1", program="other")])
        site.holders[name].storage.collect_chain("t2")
    clock.now += 2
    assert "t1" in expire(site, keeping)


def test_a_program_that_nobody_uses_is_dropped(site, clock):
    write(site, "ab", "t1")
    clock.now += RETENTION_SECONDS + 1
    site.down = {"b"}
    assert expire(site, "a") == set()


def test_without_another_holder_nothing_is_dropped(site, clock):
    write(site, "ab", "t1")
    clock.now += RETENTION_SECONDS + 1
    site.down = {"b", "c"}
    assert expire(site, "a") == {"t1"}


def test_the_last_use_at_another_holder_counts_not_the_question(site, clock):
    write(site, "ab", "t1")
    clock.now += RETENTION_SECONDS - 1
    write(site, "bc", "t2", "t1")
    clock.now += 2
    assert expire(site, "a") == {"t1"}
    clock.now += RETENTION_SECONDS - 1
    assert expire(site, "a") == set()


def test_a_program_of_other_seats_is_dropped_without_a_question(site, clock):
    site.holders["a"].disk = "disk-without-a-seat"
    write(site, "a", "t1")
    clock.now += RETENTION_SECONDS + 1
    site.down = {"b", "c"}
    assert expire(site, "a") == set()


def test_a_disk_that_its_successor_has_not_read_drops_nothing_others_use(site, clock):
    holder = site.holders["a"]
    table = holder.seats.table
    spare = Seat("spare", "spare", "disk-spare", "a")
    holder.seats.update(table.take_seat(0, spare), "test")
    write(site, "a", "t1")
    clock.now += RETENTION_SECONDS + 1
    site.down = {"spare", "b", "c"}
    assert expire(site, "a") == {"t1"}


def test_reservations_alone_are_kept_as_long_as_others_use_the_program(site, clock):
    site.holders["a"].storage.write([Reserved("p", "t1", 5)])
    clock.now += RETENTION_SECONDS - 1
    write(site, "bc", "t2")
    clock.now += 2
    expire(site, "a")
    assert site.holders["a"].storage.programs["p"].spent == 5


def test_a_turn_outlasts_its_retention_by_the_time_its_answer_takes(site, clock):
    """The write may end this much later at the holder that completes the quorum."""
    write(site, "a", "t1")
    clock.now += turn_quorum.FINISH_SECONDS
    write(site, "b", "t1")
    clock.now += 59.0
    site.down = {"b"}
    assert expire(site, "a") == {"t1"}
