from __future__ import annotations

import random
from types import SimpleNamespace

from cedarchute.address import Address
from cedarchute.routing import target_load
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.route import Repeatability, Route, ServiceShare
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry


def make_entry(name, domain="a", ready=True, slots=8, service="s", port=80):
    address = Address("10.0.0.1", port)
    return TargetEntry(name, service, address, domain, ready, slots)


def make_balancer(*entries, connected=()):
    registry = TargetRegistry(lambda entry: None)
    for entry in entries:
        registry.put(entry)
    return LoadBalancer(registry, "a", random.Random(7), connected.__contains__)


def test_the_least_busy_target_is_chosen():
    balancer = make_balancer(make_entry("t-1"), make_entry("t-2"))
    balancer.loads["t-1"].active = 3
    assert balancer.select_target("s", set()).id == "t-2"


def test_a_target_of_the_own_domain_is_chosen_unless_it_is_much_busier():
    balancer = make_balancer(make_entry("near", "a"), make_entry("far", "b"))
    assert balancer.select_target("s", set()).id == "near"
    balancer.loads["near"].active = 4
    assert balancer.select_target("s", set()).id == "far"


def test_a_target_with_an_open_connection_is_chosen_among_equals():
    cold, warm = make_entry("cold", port=81), make_entry("warm", port=82)
    balancer = make_balancer(cold, warm, connected=(warm.address,))
    assert {balancer.select_target("s", set()).id for _ in range(20)} == {"warm"}
    balancer.loads["warm"].active = 2
    assert balancer.select_target("s", set()).id == "cold"


def test_what_holds_the_prompt_is_preferred_while_it_has_room():
    balancer = make_balancer(make_entry("t-1", slots=2), make_entry("t-2"))
    balancer.loads["t-1"].active = 1
    assert balancer.select_target("s", set(), "t-1").id == "t-1"
    balancer.loads["t-1"].active = 2
    assert balancer.select_target("s", set(), "t-1").id == "t-2"


def test_targets_that_leave_or_were_tried_are_not_chosen():
    balancer = make_balancer(make_entry("t-1", ready=False), make_entry("t-2"))
    assert balancer.select_target("s", set()).id == "t-2"
    assert balancer.select_target("s", {"t-2"}) is None
    assert balancer.select_target("other", set()) is None


def test_a_target_that_failed_is_used_again_only_when_no_other_is_left():
    balancer = make_balancer(make_entry("t-1"), make_entry("t-2"))
    balancer.loads["t-1"].record_failure()
    assert balancer.select_target("s", set()).id == "t-2"
    assert balancer.select_target("s", {"t-2"}).id == "t-1"
    balancer.loads["t-1"].record_answer(0.1)
    assert not balancer.loads["t-1"].is_backing_off


def test_a_split_route_shares_calls_out_by_weight():
    balancer = make_balancer()
    shares = (ServiceShare("x", 90), ServiceShare("y", 10))
    route = Route("r", "h", b"/", Repeatability.ONCE, shares, 1.0, 1.0)
    chosen = [balancer.select_service(route) for _ in range(1000)]
    assert 850 < chosen.count("x") < 950


def test_a_target_that_fails_part_of_its_calls_gets_fewer():
    balancer = make_balancer(make_entry("grey"), make_entry("sound"))
    for _ in range(5):
        balancer.loads["grey"].record_failure()
        balancer.loads["grey"].record_answer(0.1)
        balancer.loads["sound"].record_answer(0.1)
    assert not balancer.loads["grey"].is_backing_off
    balancer.loads["sound"].active = 2
    assert balancer.select_target("s", set()).id == "sound"
    for _ in range(60):
        balancer.loads["grey"].record_answer(0.1)
    assert balancer.select_target("s", set()).id == "grey"


def test_a_target_not_used_yet_is_expected_to_be_like_the_others():
    used, unused = make_entry("used", port=81), make_entry("unused", port=82)
    balancer = make_balancer(used, unused, connected=(used.address,))
    balancer.loads["used"].record_answer(0.25)
    assert {balancer.select_target("s", set()).id for _ in range(20)} == {"used"}
    balancer.loads["used"].active = 1
    assert balancer.select_target("s", set()).id == "unused"


def test_what_was_learnt_of_a_target_that_is_gone_is_forgotten():
    balancer = make_balancer(
        make_entry("gone"), make_entry("busy"), make_entry("there")
    )
    for name in ("gone", "busy", "there"):
        balancer.loads[name].record_answer(0.1)
    balancer.loads["busy"].active = 1
    balancer.registry.remove("gone")
    balancer.registry.remove("busy")
    balancer.prune_loads()
    assert set(balancer.loads) == {"busy", "there"}
    balancer.loads["busy"].active = 0
    balancer.prune_loads()
    assert set(balancer.loads) == {"there"}


def test_any_target_with_room_is_chosen_for_a_suspect_call():
    entries = [make_entry(f"t-{number}", slots=2) for number in range(5)]
    balancer = make_balancer(*entries)
    balancer.loads["t-0"].active = 2
    balancer.loads["t-1"].record_failure()
    chosen = {balancer.select_any("s", {"t-2"}).id for _ in range(50)}
    assert chosen == {"t-3", "t-4"}
    assert balancer.select_any("s", {"t-2", "t-3", "t-4"}).id in ("t-0", "t-1")
    assert balancer.select_any("other", set()) is None


def test_a_target_that_is_silent_to_a_call_gets_no_other_while_one_answers(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(target_load.time, "monotonic", lambda: clock.now)
    choice = make_balancer(make_entry("t-1"), make_entry("t-2"))
    for target in ("t-1", "t-2"):
        choice.loads[target].record_answer(0.2)
    choice.loads["t-2"].active = 5
    choice.loads["t-1"].record_send("call")
    clock.now += 0.7
    assert choice.select_target("s", set()).id == "t-1"
    clock.now += 0.2
    assert choice.select_target("s", set()).id == "t-2"
    assert choice.select_target("s", {"t-2"}).id == "t-1"
    choice.loads["t-1"].received_at = clock.now
    assert choice.select_target("s", set()).id == "t-1"
    clock.now += 0.9
    choice.loads["t-1"].record_end("call")
    assert choice.select_target("s", set()).id == "t-1"
