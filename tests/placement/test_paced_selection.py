"""Selection among uneven targets by their pace and what other boxes told."""

from __future__ import annotations

import random
from collections import Counter

from cedarchute.address import Address
from cedarchute.placement.paced_selection import PacedSelection
from cedarchute.placement.target_belief import TargetBelief
from cedarchute.placement.target_candidate import TargetCandidate
from cedarchute.routing.target_entry import TargetEntry


def make_candidate(name, seconds=1.0, **changes):
    address = Address("10.0.0.1", 80)
    slots = changes.pop("slots", 6)
    values = {
        "active": 0,
        "failure_share": 0.0,
        "is_local": True,
        "has_connection": True,
        "has_prompt": False,
    }
    entry = TargetEntry(name, "s", address, "a", True, slots)
    return TargetCandidate(entry, mean_seconds=seconds, **{**values, **changes})


def select(*candidates, times=40):
    """Return how often each of the candidates is selected."""
    selection = PacedSelection(random.Random(7))
    return Counter(selection.select(candidates).id for _ in range(times))


def test_a_fast_target_is_selected_until_a_slow_one_is_done_sooner():
    slow = make_candidate("slow", 2.5)
    assert set(select(make_candidate("fast"), slow)) == {"fast"}
    assert set(select(make_candidate("fast", active=3), slow)) == {"slow"}


def test_calls_of_other_boxes_count_for_less_the_older_they_are():
    near = make_candidate("quiet", 1.05)
    busy = make_candidate("busy", belief=TargetBelief(6.0, 1.0, 0.0, 0.1))
    assert set(select(busy, near)) == {"quiet"}
    busy = make_candidate("busy", belief=TargetBelief(6.0, 1.0, 0.0, 9.0))
    assert set(select(busy, near)) == {"busy"}


def test_boxes_that_hear_the_same_news_do_not_all_go_to_one_target():
    """Those without a measurement of their own all believe what they are told."""
    best = make_candidate("t-0", None, belief=TargetBelief(0.0, 0.4))
    others = [
        make_candidate(f"t-{n}", None, belief=TargetBelief(2.0, 1.0))
        for n in range(1, 15)
    ]
    chosen = select(best, *others, times=220)
    assert 20 < chosen["t-0"] < 110
    assert len(chosen) > 10


def test_another_failure_domain_is_used_only_when_that_is_worth_the_way():
    far = make_candidate("far", is_local=False)
    assert set(select(make_candidate("near", 1.3), far)) == {"near"}
    assert set(select(make_candidate("near", 1.3, active=2), far)) == {"far"}


def test_unknown_targets_of_other_domains_are_seldom_drawn():
    near = [make_candidate(f"near-{n}", None) for n in range(4)]
    far = [make_candidate(f"far-{n}", None, is_local=False) for n in range(8)]
    chosen = select(*near, *far, times=200)
    assert sum(chosen[item.entry.id] for item in far) < 20


def test_a_cached_prompt_is_worth_some_calls_and_no_more():
    other = make_candidate("other")
    cached = make_candidate("cached", has_prompt=True, active=1)
    assert set(select(cached, other)) == {"cached"}
    cached = make_candidate("cached", has_prompt=True, active=4)
    assert set(select(cached, other)) == {"other"}


def test_an_open_connection_decides_among_equals():
    cold = make_candidate("cold", has_connection=False)
    assert set(select(cold, make_candidate("warm"))) == {"warm"}


def test_a_target_that_others_saw_fail_is_tried_by_one_call_at_a_time():
    failing = TargetBelief(0.0, 0.1, 0.15, 0.3)
    good = make_candidate("good")
    idle = make_candidate("failing", 0.1, belief=failing)
    assert set(select(idle, good)) == {"failing"}
    tried = make_candidate("failing", 0.1, active=1, belief=failing)
    assert set(select(tried, good)) == {"good"}
    tried = make_candidate("failing", 0.1, belief=TargetBelief(1.0, 0.1, 0.15, 0.3))
    assert set(select(tried, good)) == {"good"}
    old = TargetBelief(1.0, 0.1, 0.15, 1.1)
    assert set(select(make_candidate("failing", 0.1, belief=old), good)) == {"failing"}
    assert set(select(tried)) == {"failing"}


def test_failures_that_others_told_count_like_own_ones():
    told = TargetBelief(0.0, 1.0, 0.2, 1.5)
    grey = make_candidate("grey", belief=told)
    assert set(select(grey, make_candidate("good", 2.0))) == {"good"}


def test_an_entry_that_claims_too_many_places_does_not_get_every_call():
    huge = make_candidate("huge", slots=10**6, active=60)
    assert set(select(huge, *map(make_candidate, "abc"))) <= set("abc")


def test_targets_without_any_measurement_are_selected_alike():
    chosen = select(*(make_candidate(name, None) for name in "abcd"), times=400)
    assert min(chosen.values()) > 60
