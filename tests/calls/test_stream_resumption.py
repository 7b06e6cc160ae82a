"""The decision whether another target goes on with a broken stream."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from cedarchute.calls.stream_resumption import (
    MIN_SECONDS_LEFT,
    BrokenStream,
    may_resume,
)

# A lookup whose engine crashed after its third event, with one more target allowed.
CRASHED = BrokenStream(
    is_resumable=True,
    possible_runs=1,
    max_targets=2,
    last_event_id=b"3",
    seconds_left=2.0,
)


def test_a_stream_goes_on_where_its_route_allows_another_target():
    assert may_resume(CRASHED)


@pytest.mark.parametrize(
    "change",
    [
        {"is_resumable": False},
        {"possible_runs": 2},
        {"max_targets": 1},
        {"last_event_id": b""},
        {"seconds_left": MIN_SECONDS_LEFT / 2},
        {"seconds_left": -1.0},
    ],
)
def test_a_stream_ends_where_any_one_thing_speaks_against_it(change):
    assert not may_resume(replace(CRASHED, **change))


@given(
    st.builds(
        BrokenStream,
        is_resumable=st.booleans(),
        possible_runs=st.integers(0, 4),
        max_targets=st.integers(0, 4),
        last_event_id=st.sampled_from([b"", b"0", b"7"]),
        seconds_left=st.floats(-1, 5),
    )
)
def test_no_stream_goes_on_against_its_route(stream):
    if may_resume(stream):
        assert stream.is_resumable
        assert stream.possible_runs < stream.max_targets
        assert stream.last_event_id
        assert stream.seconds_left > 0
