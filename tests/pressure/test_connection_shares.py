"""Shares of a target's connections among entry boxes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cedarchute.pressure.connection_shares import (
    compute_connection_share,
    compute_idle_share,
)


@given(st.integers(1, 10_000), st.integers(1, 1_000))
def test_all_shares_together_stay_near_the_bound(max_connections, boxes):
    share = compute_connection_share(max_connections, boxes)
    assert min(2, max_connections) <= share <= max_connections
    assert share * boxes >= max_connections
    assert share * boxes <= 1.5 * max_connections + 2 * boxes


@given(st.integers(1, 10_000), st.integers(1, 1_000))
def test_a_box_more_never_raises_a_share(max_connections, boxes):
    share = compute_connection_share(max_connections, boxes)
    assert compute_connection_share(max_connections, boxes + 1) <= share


def test_a_box_that_knows_no_other_counts_itself():
    assert compute_connection_share(40, 0) == compute_connection_share(40, 1) == 40


@given(st.integers(2, 10_000))
def test_a_part_of_a_share_may_be_idle(share):
    assert 1 <= compute_idle_share(share) < share
