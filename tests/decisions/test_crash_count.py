"""Counts of crashes under one request."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cedarchute.decisions.crash_count import MAX_CRASHES, NO_CRASHES, CrashCount

counts = st.builds(CrashCount, st.integers(0, 3), st.integers(0, 4))


def count_series(start, length):
    for _ in range(length):
        start = start.add_crash()
    return start


def test_crashes_one_after_the_other_block_a_request():
    assert not count_series(NO_CRASHES, MAX_CRASHES - 1).is_blocking
    assert count_series(NO_CRASHES, MAX_CRASHES).is_blocking


def test_a_request_is_suspect_once_a_second_target_crashed():
    first = NO_CRASHES.add_crash()
    assert not first.is_suspect
    assert first.add_crash().is_suspect
    assert not first.add_crash().clear().is_suspect


def test_crashes_side_by_side_count_once():
    known = NO_CRASHES.add_crash()
    assert max(known.add_crash() for _ in range(9)) == count_series(NO_CRASHES, 2)


def test_an_answer_clears_a_request_and_outweighs_earlier_crashes():
    before = count_series(NO_CRASHES, 2)
    cleared = before.clear()
    assert not cleared.crashes
    assert max(cleared, before.add_crash()) == cleared
    assert count_series(cleared, MAX_CRASHES).is_blocking


@given(counts, st.lists(counts, max_size=6))
def test_the_order_in_which_counts_arrive_does_not_matter(first, others):
    forward = backward = first
    for count in others:
        forward = max(forward, count)
    for count in reversed(others):
        backward = max(backward, count, count)
    assert forward == backward
