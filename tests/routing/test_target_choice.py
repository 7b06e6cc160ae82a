from __future__ import annotations

import random

from cedarchute.address import Address
from cedarchute.routing.route import Repeatability, Route, ServiceShare
from cedarchute.routing.target_choice import TargetChoice
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry


def make_entry(name, domain="a", ready=True, slots=8, service="s", port=80):
    address = Address("10.0.0.1", port)
    return TargetEntry(name, service, address, domain, ready, slots)


def make_choice(*entries, connected=()):
    registry = TargetRegistry(lambda entry: None)
    for entry in entries:
        registry.put(entry)
    return TargetChoice(registry, "a", random.Random(7), connected.__contains__)


def test_the_least_busy_target_is_chosen():
    choice = make_choice(make_entry("t-1"), make_entry("t-2"))
    choice.loads["t-1"].active = 3
    assert choice.choose("s", set()).id == "t-2"


def test_a_target_of_the_own_domain_is_chosen_unless_it_is_much_busier():
    choice = make_choice(make_entry("near", "a"), make_entry("far", "b"))
    assert choice.choose("s", set()).id == "near"
    choice.loads["near"].active = 4
    assert choice.choose("s", set()).id == "far"


def test_a_target_with_an_open_connection_is_chosen_among_equals():
    cold, warm = make_entry("cold", port=81), make_entry("warm", port=82)
    choice = make_choice(cold, warm, connected=(warm.address,))
    assert {choice.choose("s", set()).id for _ in range(20)} == {"warm"}
    choice.loads["warm"].active = 2
    assert choice.choose("s", set()).id == "cold"


def test_what_holds_the_prompt_is_preferred_while_it_has_room():
    choice = make_choice(make_entry("t-1", slots=2), make_entry("t-2"))
    choice.loads["t-1"].active = 1
    assert choice.choose("s", set(), "t-1").id == "t-1"
    choice.loads["t-1"].active = 2
    assert choice.choose("s", set(), "t-1").id == "t-2"


def test_targets_that_leave_or_were_tried_are_not_chosen():
    choice = make_choice(make_entry("t-1", ready=False), make_entry("t-2"))
    assert choice.choose("s", set()).id == "t-2"
    assert choice.choose("s", {"t-2"}) is None
    assert choice.choose("other", set()) is None


def test_a_target_that_failed_is_used_again_only_when_no_other_is_left():
    choice = make_choice(make_entry("t-1"), make_entry("t-2"))
    choice.loads["t-1"].record_failure()
    assert choice.choose("s", set()).id == "t-2"
    assert choice.choose("s", {"t-2"}).id == "t-1"
    choice.loads["t-1"].record_answer(0.1)
    assert not choice.loads["t-1"].is_backing_off


def test_a_split_route_shares_calls_out_by_weight():
    choice = make_choice()
    shares = (ServiceShare("x", 90), ServiceShare("y", 10))
    route = Route("r", "h", b"/", Repeatability.ONCE, shares, 1.0, 1.0)
    chosen = [choice.choose_service(route) for _ in range(1000)]
    assert 850 < chosen.count("x") < 950


def test_a_target_that_fails_part_of_its_calls_gets_fewer():
    choice = make_choice(make_entry("grey"), make_entry("sound"))
    for _ in range(5):
        choice.loads["grey"].record_failure()
        choice.loads["grey"].record_answer(0.1)
        choice.loads["sound"].record_answer(0.1)
    assert not choice.loads["grey"].is_backing_off
    choice.loads["sound"].active = 2
    assert choice.choose("s", set()).id == "sound"
    for _ in range(60):
        choice.loads["grey"].record_answer(0.1)
    assert choice.choose("s", set()).id == "grey"


def test_a_target_not_used_yet_is_expected_to_be_like_the_others():
    used, unused = make_entry("used", port=81), make_entry("unused", port=82)
    choice = make_choice(used, unused, connected=(used.address,))
    choice.loads["used"].record_answer(0.25)
    assert {choice.choose("s", set()).id for _ in range(20)} == {"used"}
    choice.loads["used"].active = 1
    assert choice.choose("s", set()).id == "unused"


def test_what_was_learnt_of_a_target_that_is_gone_is_forgotten():
    choice = make_choice(make_entry("gone"), make_entry("busy"), make_entry("there"))
    for name in ("gone", "busy", "there"):
        choice.loads[name].record_answer(0.1)
    choice.loads["busy"].active = 1
    choice.registry.remove("gone")
    choice.registry.remove("busy")
    choice.forget_gone()
    assert set(choice.loads) == {"busy", "there"}
    choice.loads["busy"].active = 0
    choice.forget_gone()
    assert set(choice.loads) == {"there"}
