from __future__ import annotations

import random

import eventlet
import pytest
from fakes import StillClock

from cedarchute.limits.limit_lender import LimitLender
from cedarchute.limits.workspace_limits import (
    MIN_BORROW_INTERVAL_SECONDS,
    WorkspaceLimits,
)
from cedarchute.metrics import Metrics
from cedarchute.operators.accepted_file import AcceptedFile
from cedarchute.operators.configuration import Configuration
from cedarchute.peers.peer_client import PeerError
from cedarchute.problem import Problem

TEXT = "[site]\nname = x\n[workspace w]\ncalls_per_second = 40\n"


class Boxes:
    """Boxes that borrow from one owner; tests advance the clock."""

    def __init__(self, count, is_owner_down=False):
        self.metrics = Metrics()
        configuration = Configuration(self.metrics)
        accepted = AcceptedFile(
            revision=1, operation="o", operator="x", applied_at=0.0, text=TEXT
        )
        configuration.offer(accepted, "test")
        self.clock = StillClock()
        lender = LimitLender(configuration, self.clock)

        def borrow(request):
            if is_owner_down:
                raise PeerError("silent")
            return lender.handle_borrow(request)

        self.limits = [
            WorkspaceLimits(
                configuration,
                lambda: count,
                borrow,
                self.clock,
                random.Random(1),
                self.metrics,
            )
            for _ in range(count)
        ]

    def count_admitted(self, seconds, busy=None):
        """Call continuously at the first `busy` boxes; return the calls admitted."""
        admitted = 0
        for _ in range(seconds * 10):
            self.clock.now += 0.1
            for limits in self.limits[:busy]:
                admitted += count_admitted(limits)[0]
            eventlet.sleep(0)
        return admitted


def count_admitted(limits):
    admitted = 0
    while True:
        try:
            limits.admit("w")
        except Problem as problem:
            return admitted, problem
        admitted += 1


@pytest.mark.parametrize("count", [1, 4, 20])
def test_boxes_together_admit_the_limit_and_no_more(count):
    boxes = Boxes(count)
    boxes.count_admitted(5)
    admitted = boxes.count_admitted(40)
    # Calls lent before may be used in this time: at most one loan per box.
    assert 0.9 * 40 * 40 <= admitted <= 40 * 40 + 5 * count


@pytest.mark.parametrize("count", [4, 380])
def test_one_busy_box_gets_what_the_others_do_not_use(count):
    boxes = Boxes(count)
    boxes.count_admitted(5, busy=1)
    admitted = boxes.count_admitted(20, busy=1)
    assert 0.5 * 40 * 20 <= admitted <= 40 * 20


def test_a_silent_keeper_leaves_the_even_share():
    boxes = Boxes(4, is_owner_down=True)
    boxes.count_admitted(5)
    assert 0.45 * 40 * 20 <= boxes.count_admitted(20) <= 0.5 * 40 * 20
    assert boxes.metrics.totals["limits.borrow_failed"] > 0


def test_a_box_asks_for_many_calls_at_once():
    boxes = Boxes(380)
    asked = []
    borrow = boxes.limits[0].borrow
    boxes.limits[0].borrow = lambda request: asked.append(request) or borrow(request)
    admitted = boxes.count_admitted(30, busy=1)
    assert len(asked) <= 30 / MIN_BORROW_INTERVAL_SECONDS + 1
    assert admitted / len(asked) >= 5


def test_a_refusal_says_not_run_and_when_to_come_back():
    boxes = Boxes(4)
    _, problem = count_admitted(boxes.limits[0])
    assert problem.verdict == "not run"
    assert problem.retry_after > 0


def test_the_times_to_come_back_are_spread():
    limits = Boxes(4).limits[0]
    times = {count_admitted(limits)[1].retry_after for _ in range(20)}
    assert len(times) == 20


def test_an_unknown_workspace_is_refused():
    limits = Boxes(1).limits[0]
    with pytest.raises(Problem) as refusal:
        limits.admit("other")
    assert refusal.value.code == "unknown_workspace"
