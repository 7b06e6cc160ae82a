"""Calls that are sent to more than one target."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from cedarchute.calls.attempts import Attempts
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.routing.route import Repeatability, Route
from cedarchute.verdict import Verdict

ROUTE = Route("r", "h", b"/", Repeatability.REPEATABLE, (), 8.0, 0.4, max_targets=3)
CALL = Call("a1", None, ProgramContext("", None, "", 0))


class Quota:
    """Grants a number of calls."""

    def __init__(self, count):
        self.count = count
        self.asked = 0

    def check(self, call):
        self.asked += 1
        if self.asked > self.count:
            raise CallRefusedError(429, "beyond the workspace's limit", 1.0)


class Targets:
    """Targets whose first answers fail, each with a verdict."""

    def __init__(self, quota, verdicts):
        self.quota_check = quota
        self.verdicts = verdicts
        self.sends = 0
        load = SimpleNamespace(active=0, mean_latency_seconds=None)
        self.load_balancer = SimpleNamespace(
            select_target=lambda service, tried, preferred: SimpleNamespace(
                id=f"t{len(tried)}", incarnation="i"
            ),
            loads={"i": load},
        )

    def open(self, *_):
        self.sends += 1
        if self.sends <= len(self.verdicts):
            raise TargetFailureError("silent", self.verdicts[self.sends - 1])
        return "opened"


def make_attempts(targets):
    request = CallerRequest(b"POST", b"/", Headers(), b"", True, time.monotonic())
    return Attempts(targets, Metrics(), request, CALL, ROUTE, "s", b"")


def test_each_further_run_of_a_call_counts_for_the_limit_of_its_workspace():
    targets = Targets(Quota(2), [Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN])
    assert make_attempts(targets).open() == "opened"
    assert targets.quota_check.asked == 2


def test_a_call_is_not_run_again_beyond_the_limit_of_its_workspace():
    targets = Targets(Quota(0), [Verdict.MAY_HAVE_RUN])
    with pytest.raises(CallRefusedError) as caught:
        make_attempts(targets).open()
    assert caught.value.status == 502
    assert targets.sends == 1


def test_a_grant_that_no_target_used_is_kept_for_the_next():
    verdicts = [Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN]
    targets = Targets(Quota(1), verdicts)
    assert make_attempts(targets).open() == "opened"
    assert targets.quota_check.asked == 1


def test_a_call_that_no_target_has_run_is_sent_again_without_another_grant():
    targets = Targets(Quota(0), [Verdict.NOT_RUN, Verdict.NOT_RUN])
    assert make_attempts(targets).open() == "opened"
    assert targets.quota_check.asked == 0
