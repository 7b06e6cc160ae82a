from __future__ import annotations

import time

import eventlet
import pytest
from test_turn_storage import make_turn

from cedarchute.metrics import Metrics
from cedarchute.turns import holder_fanout, turn_quorum
from cedarchute.turns.account_sum import sum_accounts
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.chain_reader import NoSuchTurnError
from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.messages import Account, Chain, TurnBegun
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable
from cedarchute.turns.turn_quorum import TurnQuorum


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    monkeypatch.setattr(turn_quorum, "ANSWER_SECONDS", 0.01)
    monkeypatch.setattr(holder_fanout, "RETRY_DELAY_SECONDS", 0.02)


class SlowClient:
    """Holders that answer after a fixed delay."""

    def __init__(self, seconds):
        self.seconds = seconds

    def ask(self, address, path, message, answer):
        eventlet.sleep(self.seconds)
        answers = {Account: Account({}, {}), TurnBegun: TurnBegun(3, "", b"", "")}
        return answers.get(answer) or answer()


class ScriptedClient:
    """Holders that have a turn, lack it, or do not answer."""

    def __init__(self, states):
        self.states = states
        self.asked = []

    def ask(self, address, path, message, answer):
        self.asked.append(address)
        state = self.states[address]
        if state == "silent":
            raise HolderUnavailableError(address)
        if state == "has":
            return Chain((make_turn("t"),))
        return Chain((), "t")


def make_quorum(states, vacant=0, losses=1):
    seats = tuple(Seat(name, name, f"disk-{name}", "a") for name in states)
    active_table = ActiveSeatTable()
    active_table.update(SeatTable(2, True, losses, seats + (Seat(),) * vacant), "test")
    client = ScriptedClient(states)
    return TurnQuorum(active_table, client, "a", Metrics()), client


def test_a_turn_is_found_on_any_holder():
    quorum, _ = make_quorum({"a": "lacks", "b": "has", "c": "silent"})
    assert quorum.chains.read("t").turns[0].turn == "t"


def test_nobody_has_a_turn_when_all_but_those_that_may_be_lost_say_so():
    quorum, _ = make_quorum({"a": "lacks", "b": "lacks", "c": "silent"})
    with pytest.raises(NoSuchTurnError):
        quorum.chains.read("t")


def test_an_unknown_turn_is_logged_with_the_disks_that_lack_it(caplog):
    quorum, _ = make_quorum({"a": "lacks", "b": "lacks", "c": "silent"})
    with pytest.raises(NoSuchTurnError):
        quorum.chains.read("t")
    [line] = [r for r in caplog.records if r.message.startswith("Turn is unknown")]
    assert line.unknown_at == ["a/disk-a", "b/disk-b"]
    assert line.no_answer_from == ["c/disk-c"]
    assert (line.turn, line.seats_version) == ("t", 2)


def test_with_too_few_answers_nothing_is_said():
    quorum, _ = make_quorum({"a": "lacks", "b": "silent", "c": "silent"})
    with pytest.raises(NoQuorumError):
        quorum.chains.read("t")


def test_a_vacant_seat_is_one_of_those_that_may_be_lost():
    # The vacated seat and the silent holder may have had the two copies.
    states = {"a": "lacks", "b": "lacks", "c": "silent"}
    quorum, _ = make_quorum(states, vacant=1)
    with pytest.raises(NoQuorumError):
        quorum.chains.read("t")
    quorum, _ = make_quorum(dict.fromkeys(states, "lacks"), vacant=1)
    with pytest.raises(NoSuchTurnError):
        quorum.chains.read("t")


def test_what_is_settled_at_one_holder_goes_before_what_is_open_at_another():
    accounts = [
        Account({"a": 30, "b": 30, "own": 30}, {}),
        Account({"b": 30}, {"a": 7, "c": 5}),
    ]
    assert sum_accounts(accounts, "own") == 7 + 30 + 5


def test_holders_in_the_own_domain_are_asked_first_and_no_more_than_needed():
    seats = tuple(Seat(n, n, f"disk-{n}", d) for n, d in zip("abc", "xyz", strict=True))
    active_table = ActiveSeatTable()
    active_table.update(SeatTable(2, True, 1, seats), "test")

    class AccountClient(ScriptedClient):
        def ask(self, address, path, message, answer):
            self.asked.append(address)
            return Account({}, {})

    client = AccountClient({})
    TurnQuorum(active_table, client, "z", Metrics()).read_accounts("p")
    assert client.asked[0] == "c"
    assert len(client.asked) == 2


@pytest.fixture
def slow(monkeypatch):
    """A quorum client on an isolated box, with holders slower than its timeout."""
    monkeypatch.setattr(turn_quorum, "ANSWER_SECONDS", 5.0)
    monkeypatch.setattr(holder_fanout, "ISOLATED_TIMEOUT_SECONDS", 0.01)
    quorum, _ = make_quorum(dict.fromkeys("abc", "has"))
    quorum.fanout.client = SlowClient(0.1)
    quorum.fanout.failing_since = (
        time.monotonic() - holder_fanout.ISOLATED_AFTER_SECONDS - 1
    )
    return quorum


def test_what_a_caller_may_ask_elsewhere_is_given_up_early(slow):
    assert slow.fanout.is_isolated
    with pytest.raises(NoQuorumError):
        slow.reserve("p", "t", 3, "")


def test_the_end_of_a_turn_is_never_given_up_early(slow):
    slow.write(make_turn("t"))
    assert not slow.fanout.is_isolated


def test_a_box_whose_holders_are_only_slow_finds_out(slow):
    slow.probe()
    assert not slow.fanout.is_isolated
    slow.reserve("p", "t", 3, "")
