"""Which box refreshes a stale view of the store, when and from where."""

from __future__ import annotations

import random

import pytest

from cedarchute.decisions.knowledge_age import (
    ReaderRank,
    RefreshStep,
    StalenessLimits,
)

KNOWN_SECONDS = 2.0


@pytest.fixture(params=range(20))
def limits(request):
    return StalenessLimits(KNOWN_SECONDS, random.Random(request.param))


def test_the_second_reader_waits_until_the_first_should_have_told(limits):
    age = limits.first_reader_seconds
    assert limits.choose_refresh(ReaderRank.FIRST, age) is RefreshStep.ASK_THE_STORE
    assert limits.choose_refresh(ReaderRank.SECOND, age) is RefreshStep.NOTHING
    age = limits.second_reader_seconds
    assert limits.choose_refresh(ReaderRank.SECOND, age) is RefreshStep.ASK_THE_STORE
    assert limits.choose_refresh(ReaderRank.LISTENER, age) is RefreshStep.NOTHING


def test_a_listener_asks_boxes_before_the_store(limits):
    first = limits.find_refresh_age(ReaderRank.LISTENER)
    assert first > limits.second_reader_seconds
    assert limits.choose_refresh(ReaderRank.LISTENER, first) is RefreshStep.ASK_A_BOX
    # Leaves time for two queries that time out.
    last = first + 2 * limits.answer_seconds
    assert limits.choose_refresh(ReaderRank.LISTENER, last) is RefreshStep.ASK_THE_STORE


def test_the_last_box_asks_in_time_for_an_answer(limits):
    asked_at = limits.store_seconds + limits.answer_seconds + limits.pause_seconds
    assert asked_at < KNOWN_SECONDS


def test_listeners_do_not_all_ask_at_once():
    ages = {
        StalenessLimits(KNOWN_SECONDS, random.Random(n)).store_seconds for n in "abc"
    }
    assert len(ages) == 3
