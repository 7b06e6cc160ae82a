from __future__ import annotations

import pytest

from cedarchute.decisions.pace_meter import MAX_OVERDUE_RATIO, SlowdownMeter

TARGETS = ("a", "b", "c", "d", "e")


def feed(meter, start, seconds, first, pause, targets=TARGETS):
    """Simulate two streams at each target; return the time at their end."""
    streams = targets * 2
    now = start
    while now < start + seconds:
        now += first
        for target in streams:
            meter.record_first_event(target, now, first)
        for _ in range(9):
            now += pause
            for target in streams:
                meter.record_event_gaps(target, now, pause, 1)
    return now


@pytest.fixture
def calm():
    meter = SlowdownMeter()
    feed(meter, 100.0, 3.0, 0.03, 0.027)
    return meter


def test_nothing_is_known_at_first():
    assert SlowdownMeter().measure_slowdown(5.0) == 1.0


def test_calm_streams_are_not_slow(calm):
    assert calm.measure_slowdown(103.2) == pytest.approx(1.0, abs=0.05)


def test_longer_pauses_show_within_a_second(calm):
    now = feed(calm, 103.3, 0.7, 0.03, 0.081)
    assert calm.measure_slowdown(now) > 2.0
    now = feed(calm, now, 8.0, 0.03, 0.081)
    assert calm.measure_slowdown(now) == pytest.approx(2.7, abs=0.3)


def test_waits_under_way_count_before_their_first_event(calm):
    for number in range(50):
        calm.begin_wait(TARGETS[number % 5], 103.2)
    assert calm.measure_slowdown(103.5) > 1.5


def test_a_target_that_hangs_counts_no_more_than_a_bound(calm):
    for _ in range(10):
        calm.begin_wait("a", 103.2)
    late = calm.list_overdue(1000.0)
    assert late["a"] == [pytest.approx(MAX_OVERDUE_RATIO * 0.03)] * 10
    # Ten calls hang at one of five targets while the others are unaffected.
    now = feed(calm, 103.2, 4.0, 0.03, 0.027, targets=("b", "c", "d", "e"))
    assert calm.measure_slowdown(now) < 1.3


def test_a_wait_that_ended_counts_no_more(calm):
    number = calm.begin_wait("a", 103.2)
    calm.end_wait(number)
    calm.end_wait(number)
    assert calm.list_overdue(110.0) == {}


def test_a_target_that_is_slow_on_its_own_says_little_of_the_load(calm):
    feed(calm, 103.3, 3.0, 0.24, 0.216, targets=("a",))
    now = feed(calm, 103.3, 3.0, 0.03, 0.027, targets=("b", "c", "d", "e"))
    assert calm.measure_slowdown(now) < 1.3
    calm.forget("a")
    assert calm.measure_slowdown(now) < 1.1
    assert "a" not in calm.recent


def test_a_slowdown_that_ends_counts_less_than_one_that_begins(calm):
    slow = feed(calm, 103.3, 8.0, 0.09, 0.081)
    steady = calm.measure_slowdown(slow)
    now = feed(calm, slow, 0.5, 0.03, 0.027)
    assert calm.measure_slowdown(now) < 0.75 * steady


def test_what_was_slow_is_forgotten_when_nothing_comes(calm):
    now = feed(calm, 103.3, 1.5, 0.1, 0.2)
    assert calm.measure_slowdown(now) > 3
    assert calm.measure_slowdown(now + 10) == 1.0


def test_an_overload_of_half_a_minute_is_not_taken_for_usual(calm):
    now = feed(calm, 103.3, 30.0, 0.09, 0.081)
    assert calm.measure_slowdown(now) > 2.5


def test_engines_that_are_slower_for_good_become_usual(calm):
    now = feed(calm, 103.3, 600.0, 0.09, 0.081)
    assert calm.measure_slowdown(now) < 1.15


def test_times_below_those_of_an_engine_are_no_base(calm):
    quick = SlowdownMeter()
    now = feed(quick, 100.0, 2.0, 0.001, 0.0001)
    now = feed(quick, now, 2.0, 0.02, 0.01)
    assert quick.measure_slowdown(now) < 1.2
