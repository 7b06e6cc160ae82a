"""Reservations of turns that were refused or whose caller left."""

from __future__ import annotations

from conftest_nodes import wait_known
from turn_callers import say, take_turn

from experiments.waiting import wait_until
from standins.raw_target import RawTarget

MOST = 30


def test_turns_refused_without_a_quorum_leave_no_reservation(own_nodes):
    site = own_nodes
    target = RawTarget(say(b"one"))
    target.id = "t-own"
    site.add_target("t-own", "model", target.address)
    wait_known(site, [target])
    entry = site.callers["entry-1"]
    for name in ("holder-1", "holder-2"):
        site.kill(name)
    for number in range(4):
        status = take_turn(entry, f"r{number}", b"a", "p", budget=2 * MOST, most=MOST)
        assert status[0] == 503
    for name in ("holder-1", "holder-2"):
        site.restart(name)
    statuses = []

    def take():
        name = f"s{len(statuses)}"
        taken = take_turn(entry, name, b"a", "p", budget=2 * MOST, most=MOST)
        statuses.append(taken[0])
        return statuses[-1] == 200

    wait_until(take, f"a turn is served: {statuses}")
    assert set(statuses) <= {200, 503}
