"""Replays of uneven targets: lines at targets and the slowest turns of programs."""

from __future__ import annotations

import functools
from statistics import mean
from types import SimpleNamespace

import pytest
from uneven_fleet import UnevenFleet

from cedarchute.fleet import news_exchange
from cedarchute.placement import domain_knowledge
from cedarchute.routing import load_balancer, target_load, target_placement
from experiments.overload.timeline import Timeline

SEEDS = range(11, 17)
# Programs begun each second: a third of the places are taken, and nearly all in bursts.
USUAL, HEAVY = 3.0, 5.5


@functools.cache
def play(rate, by_pace, news, news_lost=0.1):
    """Return the mean time in line and the mean of programs' slowest turns."""
    lines, slowest = [], []
    with pytest.MonkeyPatch.context() as patch:
        for seed in SEEDS:
            timeline = Timeline()
            clock = SimpleNamespace(monotonic=lambda t=timeline: 100.0 + t.now)
            for module in (
                news_exchange,
                domain_knowledge,
                load_balancer,
                target_load,
                target_placement,
            ):
                patch.setattr(module, "time", clock)
            fleet = UnevenFleet(timeline, seed, by_pace, news, news_lost)
            fleet.play(60.0, rate)
            lines.append(mean(fleet.line_seconds))
            slowest.append(mean(fleet.slowest))
    return mean(lines), mean(slowest)


def test_programs_are_faster_on_fast_targets_that_others_know():
    """A program waits for its slowest turn, which is one on a slow target."""
    _, before = play(USUAL, by_pace=False, news=False)
    _, after = play(USUAL, by_pace=True, news=True)
    assert after < 0.95 * before


def test_calls_stand_in_line_for_less_long_in_bursts():
    """The first event of a stream waits for the whole line."""
    line_before, slowest_before = play(HEAVY, by_pace=False, news=False)
    line, slowest = play(HEAVY, by_pace=True, news=True)
    assert line < 0.75 * line_before
    assert slowest < 1.02 * slowest_before


def test_lost_news_leave_each_box_with_its_own_view():
    alone = play(USUAL, by_pace=True, news=False)
    assert play(USUAL, by_pace=True, news=True, news_lost=1.0) == alone
