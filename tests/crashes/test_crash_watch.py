"""Which failures of targets count as crashes, and what clears a request."""

from __future__ import annotations

import time
from types import SimpleNamespace

import eventlet
import pytest

from cedarchute.calls.call import Call, ProgramContext
from cedarchute.crashes import crash_watch
from cedarchute.crashes.crash_table import CrashTable
from cedarchute.crashes.crash_watcher import CrashWatcher
from cedarchute.decisions.crash_count import MAX_CRASHES, NO_CRASHES, CrashCount
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.target_connection import SILENT
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict

REQUEST = CallerRequest(b"GET", b"/x", Headers(), b"", True, time.monotonic())
CALL = Call("a1", None, ProgramContext("", None, "", 0))
TARGET = SimpleNamespace(incarnation="t", address="address")
RESET = TargetFailureError("reset", Verdict.MAY_HAVE_RUN)


class Exchange:
    """Other boxes that are told at once."""

    def __init__(self):
        self.table = CrashTable()
        self.told = []

    def learn_at_start(self):
        pass

    def tell(self, digest):
        self.told.append((digest, self.table.find(digest)))

    tell_and_wait = tell


class Probe:
    """Finds every target ended, or none."""

    def __init__(self):
        self.ended = True
        self.seconds = 0.0
        self.asked = 0

    def has_ended(self, address):
        self.asked += 1
        eventlet.sleep(self.seconds)
        return self.ended


@pytest.fixture
def watcher():
    return CrashWatcher(Exchange(), Probe(), Metrics())


def crash(watch):
    watch.begin_run()
    watch.record_failure(TARGET, RESET)


def test_crashes_under_all_attempts_of_a_request_block_it(watcher):
    for _ in range(MAX_CRASHES):
        watch = watcher.watch(REQUEST, CALL)
        assert watch.find_block() is None
        crash(watch)
    assert watcher.watch(REQUEST, CALL).find_block() > 0
    assert [count.crashes for _, count in watcher.exchange.told] == [1, 2, 3]


def test_a_target_that_is_still_there_has_not_crashed(watcher):
    watcher.probe.ended = False
    crash(watcher.watch(REQUEST, CALL))
    assert not watcher.exchange.table
    assert not watcher.exchange.told


@pytest.mark.parametrize(
    "error",
    [
        TargetFailureError("connect: refused", Verdict.NOT_RUN),
        TargetFailureError(SILENT, Verdict.MAY_HAVE_RUN),
    ],
)
def test_a_target_that_ran_nothing_or_is_slow_is_not_looked_at(watcher, error):
    watch = watcher.watch(REQUEST, CALL)
    watch.begin_run()
    watch.record_failure(TARGET, error)
    assert not watcher.probe.asked


def test_targets_that_crash_side_by_side_block_no_request(watcher):
    watches = [watcher.watch(REQUEST, CALL) for _ in range(9)]
    for watch in watches:
        watch.begin_run()
    for watch in watches:
        watch.record_failure(TARGET, RESET)
    assert watches[0].find_block() is None
    assert watcher.exchange.table.find(watches[0].digest) == CrashCount(0, 1)


def test_a_call_is_suspect_once_a_second_target_crashed(watcher):
    watch = watcher.watch(REQUEST, CALL)
    suspicions = []
    for _ in range(MAX_CRASHES - 1):
        suspicions.append(watch.is_suspect)
        crash(watch)
    assert suspicions == [False, False]
    assert watch.is_suspect


def test_an_answer_clears_a_request(watcher):
    watch = watcher.watch(REQUEST, CALL)
    for _ in range(MAX_CRASHES - 1):
        crash(watch)
    watcher.watch(REQUEST, CALL).record_answer(200)
    crash(watch)
    assert watch.find_block() is None
    assert watcher.exchange.table.find(watch.digest) == CrashCount(1, 1)


def test_an_error_of_a_target_clears_nothing(watcher):
    watch = watcher.watch(REQUEST, CALL)
    crash(watch)
    watch.record_answer(500)
    assert watcher.exchange.table.find(watch.digest) == CrashCount(0, 1)


def test_a_second_answer_tells_nobody(watcher):
    watch = watcher.watch(REQUEST, CALL)
    crash(watch)
    watch.record_answer(200)
    watch.record_answer(200)
    assert len(watcher.exchange.told) == 2


def test_a_crash_counts_although_the_caller_leaves_meanwhile(watcher):
    watcher.probe.seconds = 0.02
    watch = watcher.watch(REQUEST, CALL)
    task = eventlet.spawn(crash, watch)
    eventlet.sleep(0.01)
    task.kill()
    eventlet.sleep(0.03)
    assert watcher.exchange.table.find(watch.digest) == CrashCount(0, 1)


def test_calls_that_harm_nobody_cost_no_digest(watcher, monkeypatch):
    monkeypatch.setattr(crash_watch, "compute_request_digest", None)
    watch = watcher.watch(REQUEST, CALL)
    assert watch.find_block() is None
    watch.begin_run()
    watch.record_answer(200)
    assert watch.known == NO_CRASHES
