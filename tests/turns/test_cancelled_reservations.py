"""Reservations of turns that end before they are admitted."""

from __future__ import annotations

import eventlet
import pytest

from cedarchute.metrics import Metrics
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.chain_reader import NoSuchTurnError
from cedarchute.turns.messages import Chain, RecordsTaken, TurnBegun
from cedarchute.turns.records import Settled
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable
from cedarchute.turns.turn_quorum import TurnQuorum

# Reached only if no record arrives.
HANG_SECONDS = 10.0
ANSWERS = {
    "/turns/begin": TurnBegun(3, "t0", b"", ""),
    "/turns/chain": Chain((), "t0"),
    "/turns/take": RecordsTaken(),
}


class StoppingClient:
    """Holders that answer requests to one path only when told to."""

    def __init__(self, held_path):
        self.held_path = held_path
        self.is_held = eventlet.event.Event()
        self.release = eventlet.event.Event()
        self.settled = eventlet.event.Event()

    def ask(self, address, path, message, answer):
        if path == self.held_path:
            if not self.is_held.ready():
                self.is_held.send(None)
            self.release.wait()
        for record in getattr(message, "records", ()):
            if isinstance(record, Settled) and not self.settled.ready():
                self.settled.send(record)
        return ANSWERS[path]


def make_quorum(client):
    table = ActiveSeatTable()
    seats = tuple(Seat(name, name, f"disk-{name}", "a") for name in "abc")
    table.update(SeatTable(2, True, 1, seats), "test")
    return TurnQuorum(table, client, "a", Metrics())


@pytest.mark.parametrize("held_path", ["/turns/begin", "/turns/chain"])
def test_a_caller_that_leaves_during_admission_leaves_no_reservation(held_path):
    client = StoppingClient(held_path)
    quorum = make_quorum(client)
    with eventlet.Timeout(HANG_SECONDS):
        admission = eventlet.spawn(quorum.begin, "p", "t1", 30, "t0", 100)
        client.is_held.wait()
        admission.kill()
        client.release.send(None)
        assert client.settled.wait() == Settled("p", "t1", 0)


def test_a_turn_that_goes_on_from_none_leaves_no_reservation():
    client = StoppingClient("")
    with eventlet.Timeout(HANG_SECONDS):
        with pytest.raises(NoSuchTurnError):
            make_quorum(client).begin("p", "t1", 30, "t0", 100)
        assert client.settled.wait() == Settled("p", "t1", 0)
