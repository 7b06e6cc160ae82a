from __future__ import annotations

from cedarchute.fleet.backoff import INITIAL_SECONDS, Backoff

MAX_SECONDS = 1.5


def test_each_wait_is_longer_up_to_a_bound():
    backoff = Backoff(MAX_SECONDS)
    waits = [backoff.next_seconds() for _ in range(5)]
    assert waits[0] == INITIAL_SECONDS
    assert waits == sorted(waits)
    assert waits[1] > waits[0]
    assert waits[-2:] == [MAX_SECONDS] * 2


def test_after_an_answer_the_first_wait_is_short_again():
    backoff = Backoff(MAX_SECONDS)
    for _ in range(3):
        backoff.next_seconds()
    backoff.reset()
    assert backoff.next_seconds() == INITIAL_SECONDS
