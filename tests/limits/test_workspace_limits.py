from __future__ import annotations

import random

import pytest
from fakes import StillClock

from cedarchute.limits.workspace_limits import WorkspaceLimits
from cedarchute.metrics import Metrics
from cedarchute.operators.accepted_file import AcceptedFile
from cedarchute.operators.configuration import Configuration
from cedarchute.problem import Problem

TEXT = "[site]\nname = x\n[workspace w]\ncalls_per_second = 40\n"


def make_limits(boxes):
    metrics = Metrics()
    configuration = Configuration(metrics)
    accepted = AcceptedFile(
        revision=1, operation="o", operator="x", applied_at=0.0, text=TEXT
    )
    configuration.offer(accepted, "test")
    clock = StillClock()
    limits = WorkspaceLimits(
        configuration, lambda: boxes, clock, random.Random(1), metrics
    )
    return limits, clock


def count_admitted(limits):
    admitted = 0
    while True:
        try:
            limits.admit("w")
        except Problem as problem:
            return admitted, problem
        admitted += 1


def test_boxes_together_admit_no_more_than_the_limit():
    limits, clock = make_limits(boxes=4)
    count_admitted(limits)
    clock.now += 1.0
    admitted, problem = count_admitted(limits)
    assert admitted * 4 == 40
    assert problem.verdict == "not run"
    assert problem.retry_after > 0


def test_the_times_to_come_back_are_spread():
    limits, _ = make_limits(boxes=4)
    times = {count_admitted(limits)[1].retry_after for _ in range(20)}
    assert len(times) == 20


def test_an_unknown_workspace_is_refused():
    limits, _ = make_limits(boxes=1)
    with pytest.raises(Problem) as refusal:
        limits.admit("other")
    assert refusal.value.code == "unknown_workspace"
