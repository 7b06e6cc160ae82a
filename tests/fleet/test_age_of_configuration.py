"""How old the configuration of a box in touch may become, whoever falls silent.

The first box of a failure domain watched the store for the others. Its way to the store
went silent 0.05 s before a change; its watch stayed open, and to its listeners it went
on saying that the store answers and that nothing is new. It noticed when a renewal of
its own stayed unanswered: the change was confirmed at 5.03 s, `Store lost.` with `a
renewal was not answered` stood in its log at 7.92 s, and a listener that could have
asked the store at any time refused a call with 404 by the version before at 7.24 s.
Nothing bounded the age of what a box knows: neither that of a listener nor, for a whole
watch of 25 s, that of a box whose own watch had lost its answer.
"""

from __future__ import annotations

import eventlet
import pytest
from virtual_fleet import VirtualFleet, count_calls
from virtual_hub import run_in_virtual_time

from cedarchute.platform.keys import CONFIGURATION, TARGETS

# Within this an accepted configuration is in force at every box that reaches the store,
# and a target that leaves gets nothing new.
APPLY_SECONDS = 2.0
DOMAINS = {"a": 5, "b": 3, "c": 2}
# Registered, and renewals under way.
SETTLED_SECONDS = 8.0
# A fault meets renewals, watches and questions at any point of their periods.
PHASES = [0.0, 0.31, 0.62, 0.93, 1.24, 1.55]


def break_nothing(fleet):
    return set()


def cut_a_reader(fleet):
    fleet.cut("a-000")
    return {"a-000"}


def cut_both_readers(fleet):
    fleet.cut("a-000")
    fleet.cut("a-001")
    return {"a-000", "a-001"}


def cut_a_reader_of_each_domain(fleet):
    names = {"a-000", "b-000", "c-000"}
    for name in names:
        fleet.cut(name)
    return names


def stop_a_reader(fleet):
    fleet.stop_power("a-000")
    return {"a-000"}


def turn_a_reader_away(fleet):
    fleet.turn_away("a-000")
    return {"a-000"}


def silence_the_watch_of_a_reader(fleet):
    fleet.silence("a-000")
    return set()


def silence_every_watch(fleet):
    for name in fleet.boxes:
        fleet.silence(name)
    return set()


def forget_history_behind_silent_watches(fleet):
    silence_every_watch(fleet)
    fleet.change(f"{TARGETS}t-0")
    fleet.ask_store("POST", "/switch", b'{"compact": true}')
    return set()


FAULTS = [
    break_nothing,
    cut_a_reader,
    cut_both_readers,
    cut_a_reader_of_each_domain,
    stop_a_reader,
    turn_a_reader_away,
    silence_the_watch_of_a_reader,
    silence_every_watch,
    forget_history_behind_silent_watches,
]


@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("break_something", FAULTS)
@pytest.mark.parametrize("key", [CONFIGURATION, f"{TARGETS}t-1"])
def test_a_box_in_touch_knows_a_change_in_time(
    monkeypatch, key, break_something, phase
):
    def play():
        fleet = VirtualFleet(monkeypatch, DOMAINS)
        fleet.change()
        fleet.start()
        eventlet.sleep(SETTLED_SECONDS + phase)
        out_of_touch = break_something(fleet)
        eventlet.sleep(0.05)
        for _ in range(3):
            value = fleet.change(key)
            eventlet.sleep(APPLY_SECONDS)
            assert fleet.find_ignorant(value) <= out_of_touch

    run_in_virtual_time(monkeypatch, play)


@pytest.mark.parametrize("phase", PHASES)
def test_a_watch_found_silent_is_begun_anew(monkeypatch, phase):
    def play():
        fleet = VirtualFleet(monkeypatch, DOMAINS)
        fleet.change()
        fleet.start()
        eventlet.sleep(SETTLED_SECONDS + phase)
        silence_every_watch(fleet)
        fleet.change()
        eventlet.sleep(APPLY_SECONDS)
        value = fleet.change()
        # The way of an answer through two boxes; the next question to the store is
        # up to 0.8 s away.
        eventlet.sleep(0.05)
        assert fleet.find_ignorant(value) == set()

    run_in_virtual_time(monkeypatch, play)


def count_other_than_renewals(calls):
    return sum(count for name, count in calls.items() if name != "lease_renew")


def test_no_box_of_300_costs_a_call_of_its_own(monkeypatch):
    def play():
        fleet = VirtualFleet(monkeypatch, dict.fromkeys("abcde", 60))
        fleet.change()
        fleet.start()
        eventlet.sleep(SETTLED_SECONDS)
        with count_calls(fleet) as at_rest:
            eventlet.sleep(4.0)
        # One question in 0.8 s for each failure domain, and a watch that ends.
        assert count_other_than_renewals(at_rest) <= 5 * (5 + 1)
        for domain in "abcde":
            fleet.stop_power(f"{domain}-000")
        with count_calls(fleet) as without_readers:
            eventlet.sleep(4.0)
        assert count_other_than_renewals(without_readers) < 300 / 4

    run_in_virtual_time(monkeypatch, play)
