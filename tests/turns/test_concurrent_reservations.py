"""Budgets while two turns of a program are admitted at the same time."""

from __future__ import annotations

from itertools import permutations

import pytest
from test_turn_storage import make_storage

from cedarchute.metrics import Metrics
from cedarchute.turns import holder_fanout, turn_quorum
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.holder import Holder
from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.messages import BeginTurn
from cedarchute.turns.seat_table import Seat, SeatTable
from cedarchute.turns.seat_version_file import SeatVersionFile
from cedarchute.turns.turn_quorum import BudgetSpentError, TurnQuorum

TOKENS = 30
BUDGET = 50
HANDLERS = {
    "/turns/begin": "begin_turn",
    "/turns/account": "read_account",
    "/turns/take": "take_records",
}


class PartialClient:
    """Three holders, some of which cannot be reached with some requests."""

    def __init__(self, folder):
        self.table = SeatTable(
            2, True, 1, tuple(Seat(n, n, f"disk-{n}", "a") for n in "abc")
        )
        self.unreachable = {}
        self.holders = {}
        for name in "abc":
            (folder / name).mkdir()
            self.holders[name] = Holder(
                make_storage(folder / name),
                self.make_seats(),
                f"disk-{name}",
                SeatVersionFile(folder / name),
            )
            self.holders[name].caught_up = True

    def make_seats(self):
        seats = ActiveSeatTable()
        seats.update(self.table, "test")
        return seats

    def ask(self, address, path, message, answer):
        if address in self.unreachable.get(path, ()):
            raise HolderUnavailableError(address)
        return getattr(self.holders[address], HANDLERS[path])(message)

    def reserve(self, name, turn):
        """Store a reservation at one holder; return what it tells."""
        message = BeginTurn(
            table_version=2,
            disk=f"disk-{name}",
            program="p",
            turn=turn,
            tokens=TOKENS,
            budget=BUDGET,
        )
        return self.holders[name].begin_turn(message)


@pytest.fixture
def client(tmp_path, monkeypatch):
    monkeypatch.setattr(turn_quorum, "ANSWER_SECONDS", 0.5)
    monkeypatch.setattr(turn_quorum, "FINISH_SECONDS", 0.5)
    monkeypatch.setattr(holder_fanout, "RETRY_DELAY_SECONDS", 0.005)
    return PartialClient(tmp_path)


@pytest.mark.parametrize("order", list(permutations("abc")))
def test_of_two_turns_at_once_one_counts_the_other(client, order):
    """The first reservation is under way to a holder while the second is checked."""
    late, shared, other = order
    begun = {shared: client.reserve(shared, "t1")}
    client.unreachable = {"/turns/begin": late, "/turns/account": shared}
    second = TurnQuorum(client.make_seats(), client, "a", Metrics())
    with pytest.raises((BudgetSpentError, NoQuorumError)):
        second.begin("p", "t2", TOKENS, "", BUDGET)

    client.unreachable = {"/turns/account": other}
    begun[late] = client.reserve(late, "t1")
    first = TurnQuorum(client.make_seats(), client, "a", Metrics())
    first.check_budget("p", "t1", TOKENS, BUDGET, begun)


def test_the_turn_that_counts_the_other_is_told_that_the_budget_is_spent(client):
    for name in "ab":
        client.reserve(name, "t1")
    quorum = TurnQuorum(client.make_seats(), client, "a", Metrics())
    client.unreachable = {"/turns/begin": "a", "/turns/account": "a"}
    with pytest.raises(BudgetSpentError):
        quorum.begin("p", "t2", TOKENS, "", BUDGET)


def test_a_reservation_settled_elsewhere_does_not_count_against_the_budget(client):
    client.reserve("a", "t1")
    client.reserve("b", "t1")
    quorum = TurnQuorum(client.make_seats(), client, "a", Metrics())
    client.unreachable = {"/turns/take": "a"}
    quorum.settle_or_log(turn_quorum.Settled("p", "t1", 0))
    client.unreachable = {}
    assert quorum.begin("p", "t2", TOKENS, "", BUDGET)
