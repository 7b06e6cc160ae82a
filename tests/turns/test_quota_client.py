"""Order of requests to quota servers, and handling of their answers."""

from __future__ import annotations

import pytest

from cedarchute.decisions.quota_share import QuotaLimit
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.holder_fanout import HolderFanout
from cedarchute.turns.messages import QuotaAnswered
from cedarchute.turns.quota_client import NoQuotaServerError, QuotaClient
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable

LIMIT = QuotaLimit(1, 10.0, 10.0)
GRANTED = QuotaAnswered(True)


def reject(wait_seconds):
    return QuotaAnswered(False, wait_seconds, 0.2)


class FakeQuotaServers:
    """Scripted answers by address, None for no answer; records the requests."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    def ask(self, address, path, message, answer, timeout):
        self.asked.append((address, message.patience_seconds))
        answers = self.answers[address]
        found = answers(message) if callable(answers) else answers
        if found is None:
            raise HolderUnavailableError("silent")
        return found


def make_client(*answers):
    """Return a client of three fake servers, the fakes, and the order of requests."""
    seats = tuple(Seat(f"h{n}", f"h{n}", f"d{n}", "a") for n in range(3))
    active_table = ActiveSeatTable()
    active_table.update(SeatTable(1, True, 1, seats), "test")
    servers = FakeQuotaServers({})
    client = QuotaClient(HolderFanout(active_table, servers), servers, "box")
    order = [seat.address for seat in client.order_servers("w", client.find_seats("w"))]
    servers.answers = dict(zip(order, answers, strict=True))
    return client, servers, order


def test_the_first_keeper_that_grants_is_asked_first_the_next_time():
    client, servers, order = make_client(reject(0.5), GRANTED, GRANTED)
    assert client.ask("w", LIMIT, False, 0.0).granted
    assert client.ask("w", LIMIT, False, 0.0).granted
    assert [address for address, _ in servers.asked] == [order[0], order[1], order[1]]


def test_keepers_are_told_among_how_many_a_limit_is_split():
    client, servers, _ = make_client(GRANTED, GRANTED, GRANTED)
    told = []
    servers.answers = {
        f"h{n}": lambda message: told.append(message.keepers) or GRANTED
        for n in range(3)
    }
    client.ask("w", LIMIT, False, 0.0)
    alone = SeatTable(2, True, 0, client.fanout.seats.table.seats)
    client.fanout.seats.update(alone, "test")
    client.ask("w", LIMIT, False, 0.0)
    assert told == [3, 1]


def test_a_call_that_may_wait_asks_the_keeper_that_has_a_call_first():
    def answer(message):
        return QuotaAnswered(message.patience_seconds > 0, 0.4)

    client, servers, order = make_client(reject(0.9), answer, reject(0.7))
    grant = client.ask("w", LIMIT, False, 0.5)
    assert grant.granted
    assert grant.wait_seconds == 0.4
    assert servers.asked[-1] == (order[1], 0.5)
    assert len(servers.asked) == 4


def test_a_start_never_waits_and_its_refusal_is_believed_for_a_moment():
    client, servers, _ = make_client(reject(0.9), reject(0.4), reject(0.7))
    for _ in range(5):
        grant = client.ask("w", LIMIT, True, 0.5)
        assert not grant.granted
        assert 0.2 < grant.wait_seconds <= 0.4
    assert len(servers.asked) == 3


def test_silent_keepers_leave_the_answer_to_the_others():
    client, _, _ = make_client(None, None, GRANTED)
    assert client.ask("w", LIMIT, True, 0.0).granted
    client, _, _ = make_client(None, reject(0.4), None)
    assert not client.ask("w", LIMIT, True, 0.0).granted


def test_a_silent_keeper_costs_the_next_calls_nothing():
    client, servers, order = make_client(None, reject(0.9), reject(0.9))
    for _ in range(3):
        client.cached_refusals.clear()
        assert not client.ask("w", LIMIT, True, 0.0).granted
    assert [address for address, _ in servers.asked].count(order[0]) == 1


def test_a_box_that_reaches_no_keeper_counts_as_cut_off_and_asks_no_more():
    client, servers, _ = make_client(None, None, None)
    with pytest.raises(NoQuotaServerError):
        client.ask("w", LIMIT, True, 0.0)
    assert client.fanout.failing_since is not None
    client.fanout.failing_since -= 1.0
    before = len(servers.asked)
    with pytest.raises(NoQuotaServerError):
        client.ask("w", LIMIT, True, 0.0)
    assert len(servers.asked) == before
