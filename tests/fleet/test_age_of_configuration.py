"""Guards against stale configuration behind a watch or reader that hangs silently.

Boxes that can reach the store, directly or through others, apply a change in time.
"""

from __future__ import annotations

import eventlet
import pytest
from virtual_fleet import VirtualFleet, count_calls
from virtual_hub import run_in_virtual_time

from cedarchute.platform.keys import CONFIGURATION, TARGETS

# Time limit for applying an accepted change at every box that reaches the store.
APPLY_SECONDS = 2.0
DOMAINS = {"a": 5, "b": 3, "c": 2}
# Time until all boxes are registered and renew their leases.
STARTUP_SECONDS = 8.0
# Offsets of the fault relative to the periods of renewals, watches and queries.
PHASES = [0.0, 0.31, 0.62, 0.93, 1.24, 1.55]


def inject_no_fault(fleet):
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
    fleet.isolate("a-000")
    return {"a-000"}


def reject_a_reader(fleet):
    fleet.reject("a-000")
    return {"a-000"}


def silence_the_watch_of_a_reader(fleet):
    fleet.drop_pending("a-000")
    return set()


def silence_every_watch(fleet):
    for name in fleet.boxes:
        fleet.drop_pending(name)
    return set()


def forget_history_behind_silent_watches(fleet):
    silence_every_watch(fleet)
    fleet.change(f"{TARGETS}t-0")
    fleet.ask_store("POST", "/switch", b'{"compact": true}')
    return set()


FAULTS = [
    inject_no_fault,
    cut_a_reader,
    cut_both_readers,
    cut_a_reader_of_each_domain,
    stop_a_reader,
    reject_a_reader,
    silence_the_watch_of_a_reader,
    silence_every_watch,
    forget_history_behind_silent_watches,
]


@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("inject_fault", FAULTS)
@pytest.mark.parametrize("key", [CONFIGURATION, f"{TARGETS}t-1"])
def test_a_box_in_touch_knows_a_change_in_time(monkeypatch, key, inject_fault, phase):
    def play():
        fleet = VirtualFleet(monkeypatch, DOMAINS)
        fleet.change()
        fleet.start()
        eventlet.sleep(STARTUP_SECONDS + phase)
        unreachable = inject_fault(fleet)
        eventlet.sleep(0.05)
        for _ in range(3):
            value = fleet.change(key)
            eventlet.sleep(APPLY_SECONDS)
            assert fleet.find_uninformed(value) <= unreachable

    run_in_virtual_time(monkeypatch, play)


@pytest.mark.parametrize("phase", PHASES)
def test_a_watch_found_silent_is_begun_anew(monkeypatch, phase):
    def play():
        fleet = VirtualFleet(monkeypatch, DOMAINS)
        fleet.change()
        fleet.start()
        eventlet.sleep(STARTUP_SECONDS + phase)
        silence_every_watch(fleet)
        fleet.change()
        eventlet.sleep(APPLY_SECONDS)
        value = fleet.change()
        # Enough for a response through two boxes, but less than the interval of store
        # queries of up to 0.8 s.
        eventlet.sleep(0.05)
        assert fleet.find_uninformed(value) == set()

    run_in_virtual_time(monkeypatch, play)


def count_other_than_renewals(calls):
    return sum(count for name, count in calls.items() if name != "lease_renew")


def test_no_box_of_300_costs_a_call_of_its_own(monkeypatch):
    def play():
        fleet = VirtualFleet(monkeypatch, dict.fromkeys("abcde", 60))
        fleet.change()
        fleet.start()
        eventlet.sleep(STARTUP_SECONDS)
        with count_calls(fleet) as at_rest:
            eventlet.sleep(4.0)
        # Per failure domain, one query every 0.8 s and the end of one watch.
        assert count_other_than_renewals(at_rest) <= 5 * (5 + 1)
        for domain in "abcde":
            fleet.isolate(f"{domain}-000")
        with count_calls(fleet) as without_readers:
            eventlet.sleep(4.0)
        assert count_other_than_renewals(without_readers) < 300 / 4

    run_in_virtual_time(monkeypatch, play)
