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


class Watch:
    """Blocks a call once targets have failed it a number of times."""

    def __init__(self, failures_allowed):
        self.failures_left = failures_allowed

    def find_block(self):
        return None if self.failures_left else 20.0

    @property
    def is_suspect(self):
        return False

    def list_doubted(self):
        return set()

    def begin_run(self, target):
        return True

    def record_not_run(self):
        pass

    def record_failure(self, target, error):
        self.failures_left -= 1


def make_attempts(targets, **options):
    request = CallerRequest(b"POST", b"/", Headers(), b"", True, time.monotonic())
    return Attempts(targets, Metrics(), request, CALL, ROUTE, "s", b"", **options)


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


def test_a_request_under_which_targets_crashed_is_refused_at_once_as_not_run():
    targets = Targets(Quota(0), [])
    attempts = make_attempts(targets, crash_watch=Watch(0))
    with pytest.raises(CallRefusedError) as caught:
        attempts.open()
    assert caught.value.status == 503
    assert caught.value.retry_after_seconds == 20.0
    assert not targets.sends


def test_an_attempt_that_ran_before_its_request_was_blocked_promises_nothing():
    targets = Targets(Quota(9), [Verdict.MAY_HAVE_RUN] * 3)
    attempts = make_attempts(targets, crash_watch=Watch(1))
    with pytest.raises(CallRefusedError) as caught:
        attempts.open()
    assert caught.value.status == 502
    assert caught.value.retry_after_seconds is None
    assert targets.sends == 1


def test_a_request_under_which_a_target_crashed_goes_to_any_other():
    class SuspectWatch(Watch):
        is_suspect = True

    targets = Targets(Quota(0), [])
    chosen = SimpleNamespace(id="any", incarnation="i")
    targets.load_balancer.select_any = lambda service, tried: chosen
    attempts = make_attempts(targets, crash_watch=SuspectWatch(1))
    assert attempts.open() == "opened"
    assert attempts.tried == {"any"}
