"""Turns that take longer than their programs are kept, by the real processes."""

from __future__ import annotations

import threading
import time

import pytest
from conftest_nodes import make_route, start_nodes, wait_known
from turn_callers import say, take_turn

from experiments.waiting import wait_until
from standins.raw_target import LAST_CHUNK, RawTarget, chunk, event, stream_head

# The least for which holders keep a program.
RETENTION_SECONDS = 60.0
# Longer than that, the time limit of recording a turn and a round of expiry.
LONG_TURN_SECONDS = 73
# When the accounts of a program under way are asked about.
ACCOUNTS_ASKED_SECONDS = 70
EVENT_SECONDS = 1.0
PATIENCE_MS = 90_000
LONG = b"long"
BUDGET = 100


def answer_turn(request, connection):
    """Answer at once, or for as long as a turn takes whose input says so."""
    if not request.body.endswith(LONG):
        say(b"one")(request, connection)
        return
    connection.sendall(stream_head(request))
    for number in range(int(LONG_TURN_SECONDS / EVENT_SECONDS)):
        time.sleep(EVENT_SECONDS)
        connection.sendall(chunk(event(number, b"word")))
    connection.sendall(LAST_CHUNK)


class LongTurn(threading.Thread):
    """One program: a first turn, one that takes long, and one that goes on from it."""

    def __init__(self, site, name, later_program):
        super().__init__(daemon=True)
        self.addresses = list(site.callers.values())
        self.name = name
        self.later_program = later_program
        self.statuses = []

    def run(self):
        self.take("first", b"a", self.name)
        self.take("second", LONG, self.later_program, "first")
        self.take("third", b"c", self.later_program, "second")

    def take(self, turn, body, program, previous=""):
        address = self.addresses[len(self.statuses) % len(self.addresses)]
        answer = take_turn(
            address,
            f"{self.name}-{turn}",
            body,
            program,
            patience=PATIENCE_MS,
            previous=f"{self.name}-{previous}" if previous else "",
        )
        self.statuses.append(answer[0])


class LongAccounts(threading.Thread):
    """One program whose whole budget a turn under way has reserved."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.addresses = list(site.callers.values())
        self.late_status = None

    def run(self):
        threading.Thread(target=self.spend, args=("lc1", LONG), daemon=True).start()
        time.sleep(ACCOUNTS_ASKED_SECONDS)
        self.late_status = self.spend("lc2", b"b")

    def spend(self, turn, body):
        return take_turn(
            self.addresses[0],
            turn,
            body,
            "lc",
            patience=PATIENCE_MS,
            budget=BUDGET,
            most=BUDGET,
        )[0]


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """Play the programs of all tests side by side, as each takes over a minute."""
    route = make_route(
        "/turn/",
        "streaming",
        "model",
        Retained=True,
        RetentionS=RETENTION_SECONDS,
        TimeoutMs=PATIENCE_MS,
    )
    folder = tmp_path_factory.mktemp("long")
    with start_nodes(folder, routes=[route]) as site:
        target = RawTarget(answer_turn)
        target.id = "t-long"
        site.add_target(target.id, "model", target.address)
        wait_known(site, [target])
        wait_until(
            lambda: take_turn(site.callers["entry-1"], "lw", b"a", "lw")[0] == 200,
            "turns are served",
        )
        plays = {
            "same": LongTurn(site, "la", "la"),
            "other": LongTurn(site, "lb", "lb-other"),
            "accounts": LongAccounts(site),
        }
        for play in plays.values():
            play.start()
        for play in plays.values():
            play.join()
        target.close()
    return plays


# The turn after one that was answered whole got 404: its program was dropped meanwhile.
def test_a_turn_after_one_that_outlasts_the_retention_is_served(played):
    assert played["same"].statuses == [200, 200, 200]


# The same where the long turn belongs to another program than the turn before it.
def test_a_chain_of_two_programs_outlasts_the_retention_during_a_turn(played):
    assert played["other"].statuses == [200, 200, 200]


# A budget was spent twice: the reservation of a turn under way was dropped.
def test_a_budget_reserved_by_a_turn_that_outlasts_the_retention_stays(played):
    assert played["accounts"].late_status == 402
