"""Incarnations of a target under one id."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from cedarchute.address import Address
from cedarchute.routing import target_registry
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import DEFERRAL_SECONDS, TargetRegistry

OLD = TargetEntry("i-1", "s", Address("10.0.0.1", 80), "a", True, 8, started_at_ms=1000)
NEW = replace(OLD, address=Address("10.0.0.2", 80), started_at_ms=2000)


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(target_registry.time, "monotonic", lambda: clock.now)
    return clock


@pytest.fixture
def gone():
    return []


@pytest.fixture
def registry(clock, gone):
    return TargetRegistry(gone.append)


def ready_starts(registry):
    return [entry.incarnation for entry in registry.list_ready("s")]


def test_a_newer_start_takes_the_place_of_the_earlier_one(registry, gone):
    registry.put(OLD)
    registry.put(NEW)
    assert ready_starts(registry) == ["i-1@2000"]
    assert gone == [OLD]


def test_a_late_entry_of_an_earlier_start_brings_nothing_back(registry):
    registry.put(NEW)
    registry.put(OLD)
    assert ready_starts(registry) == ["i-1@2000"]
    registry.put(NEW)
    registry.expire()
    assert ready_starts(registry) == ["i-1@2000"]


def test_a_late_entry_after_the_end_of_the_newer_start_brings_nothing_back(
    registry, clock
):
    registry.put(NEW)
    registry.remove("i-1")
    registry.put(OLD)
    assert ready_starts(registry) == []
    registry.remove("i-1")
    clock.now += DEFERRAL_SECONDS
    registry.expire()
    assert ready_starts(registry) == []


def test_a_target_whose_clock_was_set_back_is_used_after_a_while(registry, clock):
    registry.put(NEW)
    registry.put(OLD)
    clock.now += DEFERRAL_SECONDS
    registry.expire()
    assert ready_starts(registry) == ["i-1@1000"]


def test_starts_of_other_targets_are_not_compared(registry):
    registry.put(NEW)
    registry.put(replace(OLD, id="i-2"))
    assert ready_starts(registry) == ["i-1@2000", "i-2@1000"]


def test_what_was_learnt_of_the_earlier_start_is_gone(clock):
    registry = TargetRegistry(lambda entry: balancer.prune_loads())
    balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
    registry.put(OLD)
    registry.put(replace(OLD, id="i-2", address=Address("10.0.0.3", 80)))
    load = balancer.loads[OLD.incarnation]
    load.record_failure()
    load.active = 7
    balancer.loads["i-2@1000"].record_answer(0.2)
    registry.put(NEW)
    assert balancer.loads[NEW.incarnation].active == 0
    assert not balancer.loads[NEW.incarnation].is_backing_off
    load.active = 0
    balancer.prune_loads()
    assert OLD.incarnation not in balancer.loads


def test_what_the_earlier_start_held_is_not_looked_for_at_the_next(registry):
    balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
    registry.put(NEW)
    other = replace(OLD, id="i-2", address=Address("10.0.0.3", 80))
    registry.put(other)
    balancer.loads[NEW.incarnation].active = 1
    assert balancer.select_target("s", set(), NEW.incarnation).id == "i-1"
    assert balancer.select_target("s", set(), OLD.incarnation).id == "i-2"


def test_an_address_of_a_box_of_ours_names_no_target(clock, gone):
    registry = TargetRegistry(gone.append, lambda address: address == OLD.address)
    registry.put(OLD)
    assert ready_starts(registry) == []


def test_an_entry_that_claims_far_more_slots_does_not_take_all(registry):
    balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
    for number in range(9):
        registry.put(replace(OLD, id=f"i-{number}"))
    registry.put(replace(OLD, id="huge", slots=100_000))
    drawn = 0
    for _ in range(100):
        chosen = balancer.select_target("s", set())
        balancer.loads[chosen.incarnation].active += 1
        drawn += chosen.id == "huge"
    assert drawn <= 48


def test_an_entry_of_an_earlier_start_that_leaves_is_not_deferred(registry):
    registry.put(NEW)
    registry.put(replace(OLD, ready=False))
    assert ready_starts(registry) == []
    registry.put(NEW)
    assert ready_starts(registry) == ["i-1@2000"]


def test_a_target_whose_entry_lapsed_gets_no_calls_while_most_have_theirs(registry):
    for number in range(4):
        registry.put(replace(OLD, id=f"i-{number}"))
    registry.known.note_store_back()
    registry.remove("i-0")
    registry.remove("i-1")
    assert ready_starts(registry) == ["i-2@1000", "i-3@1000"]


def test_targets_whose_entries_lapsed_together_are_all_used(registry):
    for number in range(4):
        registry.put(replace(OLD, id=f"i-{number}"))
    registry.known.note_store_back()
    for number in range(3):
        registry.remove(f"i-{number}")
    assert len(ready_starts(registry)) == 4
    registry.put(replace(OLD, id="i-0"))
    assert ready_starts(registry) == ["i-0@1000", "i-3@1000"]
