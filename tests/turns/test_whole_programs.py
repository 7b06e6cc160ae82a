"""Programs of competing workspaces end whole if their limit holds them."""

from __future__ import annotations

from collections import Counter

import pytest
from quota_replay import TOLERANCE, QuotaReplay

HOT = "hot"
LIMITS = {
    **{f"five{n}": 5.0 for n in range(4)},
    **{f"nine{n}": 9.0 for n in range(2)},
    HOT: 5.0,
}
OTHERS = [name for name in LIMITS if name != HOT]
SEEDS = range(4)


@pytest.fixture
def replay(monkeypatch):
    def run(is_on, limits=LIMITS, factor=7.5, callers=None, **changes):
        replays = []
        for seed in SEEDS:
            replayed = QuotaReplay(monkeypatch, seed, is_on, limits, HOT, factor)
            for name, value in changes.items():
                setattr(replayed, name, replayed.began_at + value)
            for name, value in (callers or {}).items():
                setattr(replayed, name, value)
            replays.append(replayed.run())
        return replays

    return run


def add_up(replays, workspaces=None, kind=""):
    return sum((r.count(workspaces, kind) for r in replays), Counter())


def count_begun(counts):
    return counts["ended"] + counts["late"] + counts["cut"]


def test_more_programs_end_and_none_are_cut_short(replay):
    off, on = add_up(replay(False)), add_up(replay(True))
    assert off["cut"] > 0.05 * count_begun(off)
    assert on["cut"] < 0.005 * count_begun(on)
    assert on["ended"] > off["ended"]


def test_more_programs_of_a_hot_workspace_end(replay):
    off, on = add_up(replay(False), [HOT]), add_up(replay(True), [HOT])
    assert off["cut"] > 0.2 * count_begun(off)
    assert on["cut"] == 0
    assert on["ended"] > off["ended"]


def test_a_hot_workspace_costs_others_nothing(replay):
    with_hot = add_up(replay(True), OTHERS)
    without = add_up(replay(True, factor=1.0), OTHERS)
    assert with_hot["ended"] > 0.97 * with_hot.total()
    assert with_hot["ended"] >= 0.99 * with_hot.total() * (
        without["ended"] / without.total()
    )


@pytest.mark.parametrize("kind", ["long", "short"])
def test_no_kind_of_a_hot_workspace_starves(replay, kind):
    hot = add_up(replay(True), [HOT], kind)
    assert hot["ended"] > 0.2 * hot.total()


def test_no_workspace_starves(replay):
    replays = replay(True)
    for workspace in OTHERS:
        counts = add_up(replays, [workspace])
        assert counts["ended"] > 0.9 * counts.total()


@pytest.mark.parametrize(
    ("callers", "factor"),
    [
        ({"max_tries": 1}, 7.5),
        ({"max_tries": 1}, 40.0),
        ({"lateness": (0.6, 1.5)}, 7.5),
        ({"renames_starts": True}, 7.5),
    ],
    ids=["give up", "many give up", "return late", "new key each try"],
)
def test_calls_are_not_left_idle_for_programs_that_stay_away(replay, callers, factor):
    off = replay(False, factor=factor, callers=callers)
    on = replay(True, factor=factor, callers=callers)
    assert add_up(on, [HOT])["ended"] >= add_up(off, [HOT])["ended"]
    assert add_up(on, OTHERS)["ended"] >= 0.98 * add_up(off, OTHERS)["ended"]
    used_off, used_on = (sum(r.count_calls_used(HOT) for r in rs) for rs in (off, on))
    assert used_on > 0.85 * used_off


@pytest.mark.parametrize("is_on", [False, True])
def test_grants_stay_within_limits_whatever_ledgers_say(replay, is_on):
    for replayed in replay(is_on, lose_at=25.0):
        for workspace, rate in LIMITS.items():
            times = sorted(replayed.granted[workspace])
            window = rate * TOLERANCE.window_seconds + rate
            allowed = window * (1 + TOLERANCE.overrun) + TOLERANCE.slack
            first = 0
            for number, at in enumerate(times):
                while at - times[first] > TOLERANCE.window_seconds:
                    first += 1
                assert number - first + 1 <= allowed


def test_with_the_ledger_lost_midway_the_next_server_decides(replay):
    replays = replay(True, lose_at=25.0)
    hot, others = add_up(replays, [HOT]), add_up(replays, OTHERS)
    assert others["ended"] > 0.9 * others.total()
    assert others["cut"] == 0
    replays = replay(False, lose_at=25.0)
    off, hot_off = add_up(replays), add_up(replays, [HOT])
    # Those under way when a third of the limit is lost.
    assert hot["cut"] / count_begun(hot) < 0.25 * hot_off["cut"] / count_begun(hot_off)
    assert hot["ended"] + others["ended"] > off["ended"]


def test_with_the_setting_off_only_plain_requests_are_sent(replay):
    asked = sum((r.holders.asked for r in replay(False)), Counter())
    assert set(asked) == {"AskQuota"}
