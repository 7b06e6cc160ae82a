"""Which waiting call goes next, and which is refused."""

from __future__ import annotations

import pytest
from waiting.calls import make_call

from cedarchute.waiting.line_order import LineOrder
from cedarchute.waiting.line_refusal import RefusalReason
from cedarchute.waiting.return_spread import ReturnSpread


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ({"workspace_rank": 0, "route_rank": 1}, {"workspace_rank": 1}),
        ({"route_rank": 0}, {"route_rank": 1, "is_under_way": True}),
        ({"is_under_way": True}, {"slack_seconds": 0.1}),
        ({"slack_seconds": 1.0}, {"slack_seconds": 2.0}),
        ({"slack_seconds": 7.0}, {"slack_seconds": None}),
    ],
)
def test_calls_go_by_rank_then_under_way_then_slack(first, second):
    order = LineOrder(8)
    order.enter(make_call(**second), 0.0)
    order.enter(make_call(**first), 0.0)
    assert order.take_next("s", 0.1) == make_call(**first)


def test_a_call_of_the_lowest_rank_goes_in_bounded_time():
    """Urgent calls take every place; waiting lifts the other one past them."""
    order = LineOrder(8)
    patient = make_call(0.0, 60.0, workspace_rank=1, route_rank=1)
    order.enter(patient, 0.0)
    for tick in range(100):
        now = tick * 0.1
        order.enter(make_call(now, 60.0, is_under_way=True), now)
        if order.take_next("s", now) is patient:
            break
    # One step each for its two ranks and for its new program.
    assert now <= 3.2


def test_the_least_urgent_call_is_refused_when_the_line_is_full():
    order = LineOrder(2)
    low = make_call(route_rank=2)
    order.enter(low, 0.0)
    order.enter(make_call(route_rank=1), 0.0)
    [refusal] = order.enter(make_call(route_rank=0), 0.1)
    assert refusal.call is low
    assert refusal.reason is RefusalReason.LINE_FULL
    lowest = make_call(route_rank=3)
    [refusal] = order.enter(lowest, 0.1)
    assert refusal.call is lowest


def place_for(order, seconds, spacing):
    """Let calls get places at a steady pace while others wait; return the time."""
    now = 0.0
    order.enter(make_call(0.0, 60.0), 0.0)
    while now < seconds:
        now += spacing
        order.enter(make_call(now, 60.0), now)
        order.record_placed(order.take_next("s", now), True, now)
    return now


def test_a_call_whose_turn_comes_too_late_is_refused_at_once():
    order = LineOrder(64)
    now = place_for(order, 4.0, 0.25)
    late = make_call(now, 0.2)
    [refusal] = order.enter(late, now)
    assert refusal.call is late
    assert refusal.reason is RefusalReason.NOT_IN_TIME
    assert refusal.places_per_second == pytest.approx(4.0, rel=0.25)


def test_a_call_whose_turn_comes_in_time_waits():
    order = LineOrder(64)
    now = place_for(order, 4.0, 0.25)
    assert not order.enter(make_call(now, 1.0), now)


def test_places_that_urgent_calls_take_are_not_expected_by_others():
    order = LineOrder(64)
    now = place_for(order, 4.0, 0.25)
    late = make_call(now, 1.0, route_rank=1)
    [refusal] = order.enter(late, now)
    assert refusal.call is late


def test_the_first_call_waits_though_no_place_came_free():
    order = LineOrder(64)
    order.enter(make_call(0.0, 2.0), 0.0)
    assert not order.refuse_late("s", 1.9)
    [refusal] = order.refuse_late("s", 2.0)
    assert refusal.reason is RefusalReason.NOT_IN_TIME


def test_services_wait_apart():
    order = LineOrder(8)
    order.enter(make_call(service="other"), 0.0)
    assert order.take_next("s", 0.1) is None
    assert order.count_ahead(make_call(route_rank=3), 0.1) == 0


def test_two_calls_with_the_same_id_are_told_apart():
    order = LineOrder(8)
    calls = [make_call(), make_call()]
    for call in calls:
        order.enter(call, 0.0)
    order.leave(calls[0], 0.1)
    assert order.take_next("s", 0.1) is calls[1]


def test_refused_callers_return_in_the_order_of_refusal():
    spread = ReturnSpread()
    returns = [0.01 * n + spread.pick_seconds(0.01 * n, 60.0, 20.0) for n in range(20)]
    gaps = [
        later - earlier for earlier, later in zip(returns, returns[1:], strict=False)
    ]
    assert min(gaps) >= 1 / 20.0


def test_return_times_shrink_again_and_leave_callers_time():
    spread = ReturnSpread()
    first = spread.pick_seconds(0.0, 60.0, 20.0)
    for _ in range(20):
        spread.pick_seconds(0.1, 60.0, 20.0)
    assert spread.pick_seconds(0.2, 0.5, 20.0) == pytest.approx(0.1)
    assert spread.pick_seconds(5.0, 60.0, 20.0) == first
