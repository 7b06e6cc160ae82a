"""Which box refreshes a stale view of the store, when and from where."""

from __future__ import annotations

import random

import pytest

from cedarchute.decisions.knowledge_age import KnowledgeAge, ReaderRank, Step

KNOWN_SECONDS = 2.0


@pytest.fixture(params=range(20))
def limits(request):
    return KnowledgeAge(KNOWN_SECONDS, random.Random(request.param))


def test_the_second_reader_waits_until_the_first_should_have_told(limits):
    age = limits.first_reader_seconds
    assert limits.choose_step(ReaderRank.FIRST, age) is Step.ASK_THE_STORE
    assert limits.choose_step(ReaderRank.SECOND, age) is Step.NOTHING
    age = limits.second_reader_seconds
    assert limits.choose_step(ReaderRank.SECOND, age) is Step.ASK_THE_STORE
    assert limits.choose_step(ReaderRank.LISTENER, age) is Step.NOTHING


def test_a_listener_asks_boxes_before_the_store(limits):
    first = limits.find_first_seconds(ReaderRank.LISTENER)
    assert first > limits.second_reader_seconds
    assert limits.choose_step(ReaderRank.LISTENER, first) is Step.ASK_A_BOX
    # Leaves time for two queries that time out.
    last = first + 2 * limits.answer_seconds
    assert limits.choose_step(ReaderRank.LISTENER, last) is Step.ASK_THE_STORE


def test_the_last_box_asks_in_time_for_an_answer(limits):
    asked_at = limits.store_seconds + limits.answer_seconds + limits.pause_seconds
    assert asked_at < KNOWN_SECONDS


def test_listeners_do_not_all_ask_at_once():
    ages = {KnowledgeAge(KNOWN_SECONDS, random.Random(n)).store_seconds for n in "abc"}
    assert len(ages) == 3
