"""Turns of a route that some boxes do not know yet."""

from __future__ import annotations

import threading

from conftest_nodes import ROUTES, make_route, wait_known
from turn_callers import say, turn_headers

from experiments.raw_caller import call
from experiments.waiting import wait_until
from standins.raw_target import RawTarget

ROUNDS = 12


def take_turn(address, path, turn, previous=""):
    headers = turn_headers("p", previous)
    return call(address, path, turn.encode(), b"b", headers=headers)[0]


def test_a_turn_of_a_new_route_is_not_unknown_to_a_box_that_was_frozen(own_nodes):
    site = own_nodes
    target = RawTarget(say(b"one"))
    site.add_target("t-own", "model", target.address)
    target.id = "t-own"
    wait_known(site, [target])
    informed, frozen = site.callers["entry-1"], site.callers["entry-2"]
    statuses = []
    for number in range(ROUNDS):
        prefix = f"/turn-{number}/"
        path = f"{prefix}x".encode()
        route = make_route(prefix, "streaming", "model", Retained=True, RetentionS=60.0)
        site.processes["entry-2"].pause()
        site.configure([*ROUTES, route])
        tries = []

        def take_first(number=number, path=path, tries=tries):
            tries.append(f"first-{number}-{len(tries)}")
            return take_turn(informed, path, tries[-1]) == 200

        wait_until(take_first, "the first turn is served")
        following = threading.Thread(
            target=lambda number=number, path=path, tries=tries: statuses.append(
                take_turn(frozen, path, f"next-{number}", tries[-1])
            )
        )
        following.start()
        site.processes["entry-2"].resume()
        following.join()
    assert set(statuses) <= {200, 503}, statuses
    assert 200 in statuses, statuses
    target.close()
