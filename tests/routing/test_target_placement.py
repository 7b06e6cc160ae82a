"""Where the load balancer selects by pace, and what it reports of targets."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from cedarchute.address import Address
from cedarchute.metrics import Metrics
from cedarchute.placement.paced_selection import PacedSelection
from cedarchute.placement.target_belief import TargetBelief
from cedarchute.placement.target_report import TargetReport
from cedarchute.relay.input_limits import InputLimits
from cedarchute.routing import load_balancer, target_load
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.route import Repeatability, Route, ServiceShare
from cedarchute.routing.route_table import RouteTable
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_load import TargetLoad
from cedarchute.routing.target_placement import TargetPlacement
from cedarchute.routing.target_registry import TargetRegistry


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    clock.monotonic = lambda: clock.now
    monkeypatch.setattr(load_balancer, "time", clock)
    monkeypatch.setattr(target_load, "time", clock)
    return clock


def make_balancer(beliefs=None, applies=True, is_plain=False):
    """Return a balancer with two near targets and one far one."""
    registry, metrics = TargetRegistry(lambda _: None), Metrics()
    for number, domain in enumerate("aab"):
        address = Address("10.0.0.1", number)
        registry.put(TargetEntry(f"t-{number}", "s", address, domain, True, 6))
    chance = random.Random(7)
    knowledge = SimpleNamespace(find=(beliefs or {}).get)
    placement = TargetPlacement(
        PacedSelection(chance), knowledge, lambda _: applies, metrics
    )
    return LoadBalancer(
        registry, "a", chance, lambda _: True, None if is_plain else placement
    ), metrics


def test_services_without_the_setting_get_the_targets_of_before(clock):
    plain, _ = make_balancer(is_plain=True)
    off, metrics = make_balancer({"t-0": TargetBelief(9.0, 9.0)}, applies=False)
    for number in range(60):
        chosen = [item.select_target("s", set(), "t-2").id for item in (plain, off)]
        assert chosen[0] == chosen[1]
        for item in (plain, off):
            item.loads[chosen[0]].active = number % 5
            item.loads[chosen[0]].record_answer(number % 7)
    assert plain.random_source.getstate() == off.random_source.getstate()
    assert not metrics.totals


def test_choices_are_counted_by_domain_and_news(clock):
    balancer, metrics = make_balancer({"t-2": TargetBelief(0.0, 0.1)})
    for name in ("t-0", "t-1", "t-2"):
        balancer.loads[name].record_answer(1.0)
    balancer.select_target("s", set())
    assert balancer.select_target("s", {"t-0", "t-1"}).id == "t-2"
    assert metrics.totals == {
        "placement.local": 1,
        "placement.other_domain": 1,
        "placement.by_news": 1,
    }


def test_a_target_in_backoff_is_selected_only_when_no_other_is_left(clock):
    balancer, _ = make_balancer()
    balancer.loads["t-0"].record_failure()
    balancer.loads["t-1"].record_failure()
    assert balancer.select_target("s", set()).id == "t-2"
    assert balancer.select_target("s", {"t-1", "t-2"}).id == "t-0"
    assert balancer.select_target("s", {"t-0", "t-1", "t-2"}) is None


def test_a_box_reports_what_it_used_lately(clock):
    balancer, _ = make_balancer()
    balancer.loads["old"].record_answer(1.0)
    clock.now += 2.1
    balancer.loads["t-0"].record_answer(0.25)
    balancer.loads["t-1"].active = 2
    balancer.loads["t-2"].record_failure()
    assert balancer.loads["unused"].active == 0
    assert balancer.list_reports() == (
        TargetReport("t-1", 2, 0, 0),
        TargetReport("t-0", 0, 250, 0),
        TargetReport("t-2", 0, 0, 15),
    )


def test_a_target_that_was_slow_for_a_moment_is_found_fast_again(clock):
    load = TargetLoad()
    assert load.estimate_seconds(clock.now) is None
    for _ in range(30):
        load.record_answer(0.4)
    load.record_answer(1.0)
    assert load.estimate_seconds(clock.now) == pytest.approx(1.0)
    assert load.estimate_seconds(clock.now + 1.0) < 0.65
    assert load.estimate_seconds(clock.now + 4.0) < 0.5


def test_only_services_of_streams_with_one_attempt_are_placed_by_pace():
    def make_route(name, kind, max_targets):
        shares = (ServiceShare(name, 1.0),)
        return Route(name, "h", b"/", kind, shares, 1.0, 1.0, max_targets=max_targets)

    table = RouteTable(
        1,
        (
            make_route("single", Repeatability.STREAM, 1),
            make_route("resumed", Repeatability.STREAM, 2),
            make_route("plain", Repeatability.ONCE, 1),
        ),
        {},
        InputLimits(),
    )
    assert table.single_attempt_services == {"single"}
    assert table.has_single_attempt_streams


def test_a_failure_of_long_ago_is_told_no_more():
    load = TargetLoad()
    load.record_failure()
    assert load.find_recent_failure_share(load.failed_at + 0.5) > 0
    assert load.find_recent_failure_share(load.failed_at + 5.0) == 0


def test_a_failure_does_not_renew_the_last_answer():
    load = TargetLoad()
    load.record_answer(0.2)
    load.record_answer(1.0)
    load.answered_at -= 10.0
    load.record_failure()
    assert load.estimate_seconds(load.failed_at) == pytest.approx(
        load.mean_latency_seconds, abs=0.01
    )
