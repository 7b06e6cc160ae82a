"""A home that reads the records of a program is waited for, however one came to it."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from fakes import StillClock

from cedarchute.border.call_exchange import CallExchange
from cedarchute.border.home_follower import HomeFollower
from cedarchute.border.home_locator import HomeLocation
from cedarchute.metrics import Metrics
from cedarchute.problem import Problem
from cedarchute.programs.program_registry import make_recovering_problem

ANSWER = object()
PATIENCE_SECONDS = 5.0


class PassingClock(StillClock):
    """Each look takes a second."""

    def monotonic(self):
        self.now += 1.0
        return self.now


class RecoveringHome:
    """Refuses some requests before it answers."""

    def __init__(self, refusals):
        self.refusals = refusals

    def answer(self):
        if not self.refusals:
            return ANSWER
        self.refusals -= 1
        raise make_recovering_problem()


def follow(home, *, is_forwarded=False, patience=PATIENCE_SECONDS):
    locator = SimpleNamespace(
        patience=patience,
        takeover_patience=PATIENCE_SECONDS,
        locate=lambda _: HomeLocation(is_here=True),
        is_unknown=lambda _: False,
    )
    exchange = CallExchange(
        program="p-box-1.1-1-1",
        key="key",
        request=None,
        body=None,
        seconds=60.0,
        is_stream=False,
        is_forwarded=is_forwarded,
        request_id="",
    )
    follower = HomeFollower(locator, PassingClock(), Metrics())
    return follower.follow(exchange, home.answer, None)


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_home_that_recovers_is_waited_for(is_forwarded):
    assert follow(RecoveringHome(2), is_forwarded=is_forwarded) is ANSWER


def test_a_home_that_recovers_needs_no_store():
    assert follow(RecoveringHome(2), patience=0.0) is ANSWER


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_home_that_does_not_recover_says_when_to_come_back(is_forwarded):
    with pytest.raises(Problem) as raised:
        follow(RecoveringHome(100), is_forwarded=is_forwarded)
    assert raised.value.code == "recovering"
    assert raised.value.retry_after is not None
