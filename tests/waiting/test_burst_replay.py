"""A burst of a less urgent kind of call must not displace the urgent one."""

from __future__ import annotations

import random

import pytest
from waiting.burst_replay import (
    MAX_WAIT,
    STEP,
    BurstReplay,
    Kind,
    Ordered,
    Polling,
)

URGENT = Kind(rank=0, rate=10.0)
# Together 20 calls a second on places for 25, and 35 in the burst.
LESS_URGENT = Kind(rank=1, rate=10.0, factor=2.5)
SEEDS = range(1, 6)


def play(make_line, kinds=(URGENT, LESS_URGENT)):
    results = []
    for seed in SEEDS:
        results += BurstReplay(make_line(), list(kinds), seed).run()
    return results


def poll():
    return Polling(random.Random(1))


def find_served_share(results, kind):
    own = [result for result in results if result.kind is kind]
    return sum(1 for result in own if result.started_at is not None) / len(own)


def test_polling_refuses_urgent_calls_in_a_burst_of_others():
    """Guards the replay: without the line, the burst displaces the urgent kind."""
    assert find_served_share(play(poll), URGENT) < 0.9


def test_urgent_calls_are_served_in_a_burst_of_others():
    assert find_served_share(play(Ordered), URGENT) >= 0.99


def test_the_line_wastes_no_places():
    served = [
        sum(1 for result in play(line) if result.started_at is not None)
        for line in (poll, Ordered)
    ]
    assert served[1] >= 0.98 * served[0]


def test_no_call_waits_beyond_its_latest_start():
    for result in play(Ordered):
        ended_at = result.refused_at if result.started_at is None else result.started_at
        assert ended_at is not None
        assert ended_at - result.call.entered_at <= MAX_WAIT + STEP


def test_calls_without_hope_are_refused_early():
    waits = [
        result.refused_at - result.call.entered_at
        for result in play(Ordered)
        if result.refused_at is not None
    ]
    assert sum(waits) / len(waits) < 0.5 * MAX_WAIT


def test_refused_callers_come_back_spread_out():
    returns = sorted(
        result.refused_at + result.retry_after
        for result in BurstReplay(Ordered(), [URGENT, LESS_URGENT], 1).run()
        if result.refused_at is not None
    )
    # No more of them in any tenth of a second than there are places.
    busiest = max(
        sum(1 for other in returns if start <= other < start + 0.1) for start in returns
    )
    assert busiest <= 10


@pytest.mark.parametrize("line", [Ordered])
def test_programs_under_way_go_on_in_a_burst_of_new_ones(line):
    under_way = Kind(rank=1, rate=10.0, is_under_way=True)
    new = Kind(rank=1, rate=10.0, factor=2.5)
    results = play(line, (under_way, new))
    assert find_served_share(results, under_way) >= 0.99
    assert find_served_share(play(poll, (under_way, new)), under_way) < 0.9
