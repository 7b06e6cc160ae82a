from __future__ import annotations

import pytest

from cedarchute.routing import failure_news
from cedarchute.routing.failure_news import (
    LEAST_FAILURES,
    NEWS_SECONDS,
    UNTOLD_MOST,
    FailureNews,
)

TARGETS = [f"t-{number}" for number in range(8)]


class Clock:
    now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(failure_news, "time", clock)
    return clock


@pytest.fixture
def news(clock):
    return FailureNews()


def test_each_failure_is_told_once(news):
    for target in ("a", "b", "a"):
        news.note(target)
    assert news.take_untold() == ("a", "b", "a")
    assert news.take_untold() == ()


def test_what_nobody_asks_for_stays_bounded(news):
    for number in range(UNTOLD_MOST * 2):
        news.note(f"t-{number}")
    failed = news.take_untold()
    assert len(failed) == UNTOLD_MOST
    assert failed[-1] == f"t-{UNTOLD_MOST * 2 - 1}"


def test_a_target_that_fails_more_than_the_others_is_suspected(news):
    news.hear({"t-1": LEAST_FAILURES, "t-2": LEAST_FAILURES - 1})
    assert news.find_suspects(TARGETS) == {"t-1"}


def test_when_all_fail_alike_none_is_suspected(news):
    news.hear(dict.fromkeys(TARGETS, 20))
    assert news.find_suspects(TARGETS) == set()


def test_targets_of_another_service_are_not_compared(news):
    news.hear(dict.fromkeys(TARGETS, 20) | {"other": 3})
    assert news.find_suspects(["other", "other-2", "other-3"]) == {"other"}


def test_the_highest_count_that_was_heard_lately_holds(news, clock):
    news.hear({"t-1": 9})
    news.hear({"t-1": 1})
    assert news.find_suspects(TARGETS) == {"t-1"}
    clock.now += NEWS_SECONDS + 0.1
    news.hear({"t-1": 1})
    assert news.find_suspects(TARGETS) == set()


def test_what_was_heard_long_ago_is_forgotten(news, clock):
    news.hear({"t-1": 9})
    assert news.find_suspects(TARGETS) == {"t-1"}
    clock.now += NEWS_SECONDS + 0.1
    assert news.find_suspects(TARGETS) == set()
    assert news.suspected == set()
