"""Arithmetic of quorums, over every table of up to seven seats."""

from __future__ import annotations

from itertools import combinations, product

import pytest

from cedarchute.metrics import Metrics
from cedarchute.turns import chain_reader, holder_fanout
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.chain_reader import NoSuchTurnError
from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.messages import Chain
from cedarchute.turns.records import Turn
from cedarchute.turns.seat_table import Seat, SeatTable
from cedarchute.turns.turn_quorum import TurnQuorum

TURN = Turn("p", "t", "", b"in", b"out", 3, "target", 60.0)
# A set of seats is only made final with more seats than tolerated losses.
SIZES = [(n, losses) for n in range(1, 8) for losses in range(1, 4) if n > losses]


def make_table(size, losses, vacant=()):
    seats = tuple(
        Seat() if n in vacant else Seat(f"box-{n}", f"box-{n}", f"disk-{n}", "a")
        for n in range(size)
    )
    return SeatTable(2, True, losses, seats)


def list_subsets(items, smallest, largest):
    for count in range(smallest, largest + 1):
        yield from (set(chosen) for chosen in combinations(sorted(items), count))


def list_vacancies(size, losses):
    """Return the sets of seats that may be vacant at once."""
    return list_subsets(range(size), 0, make_table(size, losses).max_vacant)


def list_quorums(table):
    """Return the smallest sets of seats that a record may have been written to.

    A seat that is vacant now may have been occupied then.
    """
    return list_subsets(table.find_seats("p"), table.quorum, table.quorum)


@pytest.mark.parametrize(("size", "losses"), SIZES)
def test_two_quorums_share_a_holder_and_each_outlasts_the_losses(size, losses):
    table = make_table(size, losses)
    for one, other in product(list_quorums(table), repeat=2):
        assert one & other
    for written in list_quorums(table):
        for lost in list_subsets(range(size), 0, losses):
            assert written - lost


@pytest.mark.parametrize(("size", "losses"), SIZES)
def test_a_written_turn_is_never_proved_absent(size, losses):
    """Disks that are lost give no answer until they have the turn again."""
    for vacant in list_vacancies(size, losses):
        table = make_table(size, losses, vacant)
        occupied = set(table.list_occupied())
        for written in list_quorums(table):
            for lost in list_subsets(occupied, 0, losses):
                without = occupied - written - lost
                for answers in list_subsets(without, 0, len(without)):
                    assert len(answers) < table.count_for_absence()


@pytest.mark.parametrize(("size", "losses"), SIZES)
def test_a_turn_that_never_was_is_told_so_within_the_losses(size, losses):
    for vacant in list_vacancies(size, losses):
        table = make_table(size, losses, vacant)
        occupied = set(table.list_occupied())
        for silent in list_subsets(occupied, 0, losses - len(vacant)):
            assert len(occupied - silent) >= table.count_for_absence() > 0


@pytest.mark.parametrize(("size", "losses"), SIZES)
def test_every_program_has_a_quorum_with_as_many_vacant_seats_as_may_be(size, losses):
    for vacant in list_vacancies(size, losses):
        table = make_table(size, losses, vacant)
        for number in range(20):
            seats = set(table.find_seats(f"program-{number}"))
            assert len(seats - vacant) >= table.quorum


class ScriptedClient:
    """Holders that have a turn, lack it, or do not answer."""

    def __init__(self, states):
        self.states = states

    def ask(self, address, path, message, answer):
        state = self.states[address]
        if state == "silent":
            raise HolderUnavailableError(address)
        return Chain((TURN,)) if state == "has" else Chain((), "t")


@pytest.mark.parametrize("size", [2, 3, 4])
def test_every_set_of_answers_is_read_as_the_arithmetic_says(size, monkeypatch):
    monkeypatch.setattr(chain_reader, "ANSWER_SECONDS", 0.005)
    monkeypatch.setattr(holder_fanout, "RETRY_DELAY_SECONDS", 0.01)
    table = make_table(size, 1)
    for states in product(["has", "lacks", "silent"], repeat=size):
        seats = ActiveSeatTable()
        seats.update(table, "test")
        by_box = {f"box-{n}": state for n, state in enumerate(states)}
        quorum = TurnQuorum(seats, ScriptedClient(by_box), "a", Metrics())
        outcome = "found"
        try:
            quorum.chains.read("t")
        except NoSuchTurnError:
            outcome = "absent"
        except NoQuorumError:
            outcome = "unknown"
        if states.count("has") >= table.quorum:
            assert outcome == "found", states
        elif "has" not in states:
            enough = states.count("lacks") >= table.count_for_absence()
            assert outcome == ("absent" if enough else "unknown"), states


@pytest.mark.parametrize(("size", "losses"), SIZES)
def test_seats_are_released_only_if_more_disks_than_may_be_lost_are_left(size, losses):
    for incomplete in list_subsets(range(size), 1, size):
        table = make_table(size, losses)
        for number in range(size):
            table = table.complete_seat(number)
        for number in incomplete:
            table = table.mark_incomplete(number)
        if not table.may_release(table.list_unreleased()):
            continue
        released = table.release_seats(table.list_unreleased())
        assert released.list_unreleased() == []
        for stored in combinations(range(size), table.replication_factor):
            assert len(set(stored) - incomplete) > losses
