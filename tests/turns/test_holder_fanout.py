"""Requests to several holders while some are silent or know a newer table."""

from __future__ import annotations

import eventlet
import pytest

from cedarchute.metrics import Metrics
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.holder_client import (
    HolderRefusedError,
    HolderUnavailableError,
)
from cedarchute.turns.messages import Refused, TurnBegun
from cedarchute.turns.seat_table import Seat, SeatTable
from cedarchute.turns.turn_quorum import TurnQuorum

# Longer than any request of these tests may take.
HANG_SECONDS = 30.0
# Latency of a holder that is sound.
ANSWER_SECONDS = 0.005


def make_table(version, *boxes):
    seats = tuple(Seat(box, box, f"disk-{box}", "a") for box in boxes)
    return SeatTable(version, True, 1, seats)


class FakeHolders:
    """Holders that know a table, stay silent or are only starting.

    Attributes
    ----------
    starting : dict of str to int
        How many requests a holder refuses before it serves.
    """

    def __init__(self, table, silent=(), starting=()):
        self.table = table
        self.silent = set(silent)
        self.starting = dict(starting)
        self.asked = []

    def ask(self, address, path, message, answer):
        self.asked.append(address)
        eventlet.sleep(ANSWER_SECONDS)
        if address in self.silent:
            eventlet.sleep(HANG_SECONDS)
            raise HolderUnavailableError(address)
        if self.starting.get(address, 0) > 0:
            self.starting[address] -= 1
            raise HolderRefusedError(Refused("starting"))
        if message.table_version < self.table.version:
            raise HolderRefusedError(Refused("the table of seats is old", self.table))
        return TurnBegun(message.tokens)


def make_quorum(known, holders):
    seats = ActiveSeatTable()
    seats.update(known, "test")
    return TurnQuorum(seats, holders, "a", Metrics())


@pytest.mark.parametrize("order", ["abc", "bca", "cab"])
def test_a_turn_under_an_old_table_does_not_wait_for_the_holder_that_is_gone(order):
    holders = FakeHolders(make_table(3, "d", "b", "c"), silent="a")
    quorum = make_quorum(make_table(2, *order), holders)
    with eventlet.Timeout(HANG_SECONDS / 2):
        begun = quorum.reserve("p", "t", 3, "")
    assert len(begun) == 2
