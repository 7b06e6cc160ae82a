"""Requests wait for an owner that is recovering, also when forwarded to it."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from fakes import StillClock

from cedarchute.border.call_exchange import CallExchange
from cedarchute.border.home_follower import HomeFollower
from cedarchute.border.home_locator import OwnerLocation
from cedarchute.metrics import Metrics
from cedarchute.problem import Problem
from cedarchute.programs.program_registry import make_recovering_problem

ANSWER = object()
MAX_WAIT_SECONDS = 5.0


class TickingClock(StillClock):
    """Advances by one second on each read."""

    def monotonic(self):
        self.now += 1.0
        return self.now


class RecoveringOwner:
    """Rejects a number of requests before it responds."""

    def __init__(self, rejections):
        self.rejections = rejections

    def answer(self):
        if not self.rejections:
            return ANSWER
        self.rejections -= 1
        raise make_recovering_problem()


def follow(owner, *, is_forwarded=False, owner_wait_seconds=MAX_WAIT_SECONDS):
    locator = SimpleNamespace(
        owner_wait_seconds=owner_wait_seconds,
        takeover_wait_seconds=MAX_WAIT_SECONDS,
        locate=lambda _: OwnerLocation(is_local=True),
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
    follower = HomeFollower(locator, TickingClock(), Metrics())
    return follower.follow(exchange, owner.answer, None)


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_home_that_recovers_is_waited_for(is_forwarded):
    assert follow(RecoveringOwner(2), is_forwarded=is_forwarded) is ANSWER


def test_a_home_that_recovers_needs_no_store():
    assert follow(RecoveringOwner(2), owner_wait_seconds=0.0) is ANSWER


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_home_that_does_not_recover_says_when_to_come_back(is_forwarded):
    with pytest.raises(Problem) as raised:
        follow(RecoveringOwner(100), is_forwarded=is_forwarded)
    assert raised.value.code == "recovering"
    assert raised.value.retry_after is not None
