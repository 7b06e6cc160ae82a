"""What engines are told of the urgency of a call."""

from __future__ import annotations

from itertools import product

import pytest

from cedarchute.waiting.call_urgency import compute_urgency

STATES = list(product((True, False), (None, -1.0, 0.0, 0.5, 2.0, 50.0)))


@pytest.mark.parametrize("places", range(1, 25))
def test_no_call_is_more_urgent_than_one_of_a_rank_before_its_own(places):
    for place in range(places - 1):
        worst = max(compute_urgency(place, places, *state, 1.0) for state in STATES)
        best = min(compute_urgency(place + 1, places, *state, 1.0) for state in STATES)
        assert worst <= best
        if places <= 10:
            assert worst < best


@pytest.mark.parametrize("places", range(1, 25))
def test_urgencies_are_those_that_engines_know(places):
    for place, state in product(range(places), STATES):
        assert 0 <= compute_urgency(place, places, *state, 1.0) <= 9


@pytest.mark.parametrize("places", range(1, 6))
def test_programs_under_way_go_before_new_ones(places):
    for place in range(places):
        late = compute_urgency(place, places, True, None, 1.0)
        assert late < compute_urgency(place, places, False, 0.0, 1.0)


def test_less_slack_is_more_urgent():
    urgencies = [compute_urgency(0, 1, True, slack, 1.0) for slack in (0.0, 2.0, 8.0)]
    assert urgencies == sorted(set(urgencies))
