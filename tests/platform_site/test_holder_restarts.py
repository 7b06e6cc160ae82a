"""Planned restarts of holders, one soon after the other."""

from __future__ import annotations

import time

from conftest_nodes import wait_known
from turn_callers import say, take_turn

from experiments.waiting import wait_until
from standins.raw_target import RawTarget

# Longer than a holder needs from its signal to its end if it waits for nothing.
UNHURRIED_SECONDS = 2.5


def test_turns_go_on_while_a_holder_restarts_and_another_is_asked_to_stop(own_nodes):
    site = own_nodes
    target = RawTarget(say(b"one"))
    target.id = "t-own"
    site.add_target("t-own", "model", target.address)
    wait_known(site, [target])
    entry = site.callers["entry-1"]
    assert take_turn(entry, "t0", b"a", "p")[0] == 200

    first, second = site.processes["holder-1"], site.processes["holder-2"]
    first.terminate()
    first.wait()
    second.terminate()
    time.sleep(UNHURRIED_SECONDS)
    assert take_turn(entry, "t1", b"b", "p", previous="t0")[0] == 200
    site.restart("holder-1")
    wait_until(lambda: not second.is_running, "the second one stops", 20)
    assert second.wait() == 0
    assert take_turn(entry, "t2", b"c", "p", previous="t1")[0] == 200
    target.close()
