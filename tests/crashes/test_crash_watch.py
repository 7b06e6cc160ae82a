"""Which failures of targets count as crashes, and what clears a request."""

from __future__ import annotations

import itertools
import time
from types import SimpleNamespace

import eventlet
import msgspec
import pytest

from cedarchute.calls.call import Call, ProgramContext
from cedarchute.crashes import crash_watch, watched_run
from cedarchute.crashes.crash_table import LAPSE_SECONDS, CrashTable
from cedarchute.crashes.crash_watcher import CrashWatcher
from cedarchute.crashes.target_life import TargetLife
from cedarchute.decisions.crash_count import MAX_CRASHES, NO_CRASHES, CrashCount
from cedarchute.decisions.target_run import RunState
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.target_connection import SILENT
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict

REQUEST = CallerRequest(b"GET", b"/x", Headers(), b"", True, time.monotonic())
CALL = Call("a1", None, ProgramContext("", None, "", 0))
TARGET = SimpleNamespace(incarnation="t", address="address")
TARGETS = [
    SimpleNamespace(id=f"t{n}", incarnation=f"t{n}", address="address")
    for n in range(9)
]
RESET = TargetFailureError("reset", Verdict.MAY_HAVE_RUN)
SILENCE = TargetFailureError(SILENT, Verdict.MAY_HAVE_RUN)


class Exchange:
    """Other boxes that are told at once."""

    def __init__(self):
        self.table = CrashTable()
        self.told = []
        self.active = set()

    def learn_at_start(self):
        pass

    def tell(self, digest):
        self.told.append((digest, self.table.find(digest)))

    tell_and_wait = tell


class Check:
    """Finds every target ended, alive, or neither."""

    def __init__(self):
        self.life = TargetLife.ENDED
        self.seconds = 0.0
        self.asked = 0

    def check(self, target, answer_seconds=0.0):
        self.asked += 1
        eventlet.sleep(self.seconds)
        return self.life


def find_target(incarnation):
    known = [*TARGETS, TARGET]
    return next((each for each in known if each.incarnation == incarnation), None)


@pytest.fixture
def watcher():
    return CrashWatcher(
        Exchange(), Check(), Metrics(), find_target, lambda incarnation: float("-inf")
    )


def begin(watch, target):
    """Send a call to a target that lives until then."""
    check = watch.watcher.life_check
    life, check.life = check.life, TargetLife.ALIVE
    seconds, check.seconds = check.seconds, 0.0
    asked = check.asked
    try:
        return watch.begin_run(target)
    finally:
        check.life, check.seconds, check.asked = life, seconds, asked


def crash(watch, target=TARGET):
    assert begin(watch, target)
    watch.record_failure(target, RESET)


def test_crashes_under_all_attempts_of_a_request_block_it(watcher):
    for target in TARGETS[:MAX_CRASHES]:
        watch = watcher.watch(REQUEST, CALL)
        assert watch.find_block() is None
        crash(watch, target)
    assert watcher.watch(REQUEST, CALL).find_block() > 0
    counts = [count.crashes for _, count in watcher.exchange.told]
    # The announcement of a run tells the count before it once more.
    assert [count for count, _ in itertools.groupby(counts)] == [1, 2, 3]


def test_a_target_that_is_still_there_has_not_crashed(watcher):
    watcher.life_check.life = TargetLife.ALIVE
    crash(watcher.watch(REQUEST, CALL))
    assert not watcher.exchange.table
    assert not watcher.exchange.told


def test_a_target_that_ran_nothing_is_not_looked_at(watcher):
    watch = watcher.watch(REQUEST, CALL)
    begin(watch, TARGET)
    watch.record_failure(
        TARGET, TargetFailureError("connect: refused", Verdict.NOT_RUN)
    )
    assert not watcher.life_check.asked
    assert not watcher.exchange.table


def test_a_slow_target_that_lives_counts_only_until_it_was_looked_at(watcher):
    watcher.life_check.life = TargetLife.ALIVE
    watcher.life_check.seconds = 0.01
    watch = watcher.watch(REQUEST, CALL)
    begin(watch, TARGET)
    watch.record_failure(TARGET, SILENCE)
    assert watcher.exchange.table.list_suspects(watch.digest) == {"t": RunState.OPEN}
    eventlet.sleep(0.03)
    assert not watcher.exchange.table.list_suspects(watch.digest)


@pytest.mark.parametrize("error", [RESET, SILENCE])
def test_a_target_that_nobody_can_tell_of_counts_as_ended(watcher, error):
    watcher.life_check.life = TargetLife.UNKNOWN
    for target in TARGETS[:MAX_CRASHES]:
        watch = watcher.watch(REQUEST, CALL)
        assert watch.find_block() is None
        assert begin(watch, target)
        watch.record_failure(target, error)
        eventlet.sleep(0.01)
    assert watch.find_block() == crash_watch.UNDECIDED_RETRY_SECONDS


def test_open_runs_are_decided_before_a_call_is_refused(watcher):
    watcher.life_check.life = TargetLife.UNKNOWN
    watch = watcher.watch(REQUEST, CALL)
    for target in TARGETS[:MAX_CRASHES]:
        crash(watch, target)
    watcher.life_check.life = TargetLife.ALIVE
    assert watch.find_block() is None
    assert not watcher.exchange.table.list_suspects(watch.digest)


def test_a_target_that_answers_a_later_call_clears_open_runs(watcher):
    watcher.life_check.life = TargetLife.UNKNOWN
    watch = watcher.watch(REQUEST, CALL)
    crash(watch)
    watcher.record_alive(TARGET, time.monotonic() - 60)
    assert watcher.exchange.table.list_suspects(watch.digest)
    watcher.record_alive(TARGET, time.monotonic() + 0.001)
    assert not watcher.exchange.table.list_suspects(watch.digest)


def test_targets_that_end_side_by_side_count_each(watcher):
    watches = [watcher.watch(REQUEST, CALL) for _ in range(MAX_CRASHES)]
    for watch, target in zip(watches, TARGETS, strict=False):
        assert begin(watch, target)
    for watch, target in zip(watches, TARGETS, strict=False):
        watch.record_failure(target, RESET)
    assert watcher.watch(REQUEST, CALL).find_block() > 0


def test_a_popular_request_survives_a_domain_that_goes_dark(watcher):
    watcher.watch(REQUEST, CALL).record_answer(200)
    watches = [watcher.watch(REQUEST, CALL) for _ in TARGETS]
    for watch, target in zip(watches, TARGETS, strict=True):
        assert begin(watch, target)
    for watch, target in zip(watches, TARGETS, strict=True):
        watch.record_failure(target, RESET)
    assert watcher.watch(REQUEST, CALL).find_block() is None


def test_runs_under_way_count_once_a_target_ended(watcher, monkeypatch):
    monkeypatch.setattr(crash_watch, "HOLD_SECONDS", 0.05)
    first, *others = [watcher.watch(REQUEST, CALL) for _ in range(MAX_CRASHES)]
    for watch, target in zip([first, *others], TARGETS, strict=False):
        begin(watch, target)
    first.record_failure(TARGETS[0], RESET)
    for watch in others:
        watch.run.count(RunState.RUNNING)
    last = watcher.watch(REQUEST, CALL)
    assert last.find_block() == crash_watch.UNDECIDED_RETRY_SECONDS
    others[0].record_answer(500)
    assert last.find_block() is None
    assert begin(last, TARGETS[5])
    assert not begin(watcher.watch(REQUEST, CALL), TARGETS[6])


@pytest.mark.parametrize("life", [TargetLife.UNKNOWN, TargetLife.ENDED])
@pytest.mark.parametrize("error", [RESET, SILENCE])
def test_a_request_is_not_held_to_targets_that_failed_before_it(watcher, life, error):
    watcher.life_check.life = life
    other = msgspec.structs.replace(REQUEST, body=b"other")
    for target in TARGETS:
        crash(
            watcher.watch(
                msgspec.structs.replace(other, body=b"%d" % id(target)), CALL
            ),
            target,
        )
    for target in TARGETS:
        watch = watcher.watch(REQUEST, CALL)
        assert watch.find_block() is None
        assert begin(watch, target)
        watch.record_failure(target, error)
        eventlet.sleep(0)
    assert not watcher.exchange.table.list_suspects(watch.digest)


def test_a_request_that_counts_is_sent_to_targets_that_live(watcher):
    watch = watcher.watch(REQUEST, CALL)
    assert watch.begin_run(TARGETS[0])
    assert not watcher.life_check.asked
    watch.record_failure(TARGETS[0], RESET)
    assert not watch.begin_run(TARGETS[1])
    assert watch.list_doubted() == {"t0", "t1"}
    watcher.life_check.life = TargetLife.ALIVE
    assert watch.begin_run(TARGETS[2])
    watch.record_not_run()
    # Without any other target it is used, and does not count.
    watcher.life_check.life = TargetLife.ENDED
    crash(watch, TARGETS[1])
    assert watcher.exchange.table.list_suspects(watch.digest) == {"t0": RunState.ENDED}


def test_a_run_whose_caller_left_before_it_was_sent_does_not_count(watcher):
    watch = watcher.watch(REQUEST, CALL)
    crash(watch, TARGETS[0])
    watcher.exchange.tell_and_wait = lambda digest: eventlet.sleep(60)
    task = eventlet.spawn(watch.begin_run, TARGETS[1])
    eventlet.sleep(0)
    assert TARGETS[1].incarnation in watcher.exchange.table.list_suspects(watch.digest)
    task.kill()
    assert watcher.exchange.table.list_suspects(watch.digest) == {"t0": RunState.ENDED}


def test_a_failed_run_is_under_way_until_its_target_was_looked_at(watcher):
    watcher.life_check.seconds = 0.02
    watch = watcher.watch(REQUEST, CALL)
    assert begin(watch, TARGET)
    task = eventlet.spawn(watch.record_failure, TARGET, RESET)
    eventlet.sleep(0.005)
    # The caller leaves and comes to another box, which asks.
    task.kill()
    watch.close()
    assert watcher.exchange.active
    eventlet.sleep(0.03)
    assert not watcher.exchange.active
    assert watcher.exchange.table.list_suspects(watch.digest) == {"t": RunState.ENDED}


def test_a_target_that_is_alive_again_counts_again(watcher):
    watcher.life_check.life = TargetLife.UNKNOWN
    other = msgspec.structs.replace(REQUEST, body=b"other")
    crash(watcher.watch(other, CALL))
    watcher.record_alive(TARGET, time.monotonic() + 0.001)
    watch = watcher.watch(REQUEST, CALL)
    crash(watch)
    assert watcher.exchange.table.list_suspects(watch.digest)


def test_a_request_that_counts_avoids_targets_that_failed(watcher):
    other = msgspec.structs.replace(REQUEST, body=b"other")
    crash(watcher.watch(other, CALL), TARGETS[0])
    watch = watcher.watch(REQUEST, CALL)
    assert not watch.list_doubted()
    crash(watch, TARGETS[1])
    assert watch.list_doubted() == {"t0", "t1"}


def test_a_run_whose_caller_left_is_looked_at_later(watcher, monkeypatch):
    monkeypatch.setattr(watched_run, "LEFT_SECONDS", 0.01)
    watch = watcher.watch(REQUEST, CALL)
    begin(watch, TARGET)
    watch.close()
    assert watcher.exchange.active
    eventlet.sleep(0.03)
    assert watcher.exchange.table.find(watch.digest) == CrashCount(0, 1)
    assert not watcher.exchange.active


def test_a_run_that_ended_before_its_caller_left_is_not_looked_at(watcher, monkeypatch):
    monkeypatch.setattr(watched_run, "LEFT_SECONDS", 0.0)
    watch = watcher.watch(REQUEST, CALL)
    begin(watch, TARGET)
    watch.record_answer(200)
    watch.close()
    eventlet.sleep(0.01)
    assert not watcher.life_check.asked


def test_targets_that_crash_side_by_side_block_no_request(watcher):
    watches = [watcher.watch(REQUEST, CALL) for _ in range(9)]
    for watch in watches:
        begin(watch, TARGET)
    for watch in watches:
        watch.record_failure(TARGET, RESET)
    assert watches[0].find_block() is None
    assert watcher.exchange.table.find(watches[0].digest) == CrashCount(0, 1)


def test_a_call_is_suspect_once_a_second_target_crashed(watcher):
    watch = watcher.watch(REQUEST, CALL)
    suspicions = []
    for target in TARGETS[: MAX_CRASHES - 1]:
        suspicions.append(watch.is_suspect)
        crash(watch, target)
    assert suspicions == [False, False]
    assert watch.is_suspect


def test_an_answer_clears_a_request(watcher):
    watch = watcher.watch(REQUEST, CALL)
    for target in TARGETS[: MAX_CRASHES - 1]:
        crash(watch, target)
    watcher.watch(REQUEST, CALL).record_answer(200)
    crash(watch, TARGETS[5])
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
    watcher.life_check.seconds = 0.02
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
    begin(watch, TARGET)
    assert watch.run.known == NO_CRASHES
    watch.record_answer(200)


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(watcher):
    clock = Clock()
    watcher.exchange.table = CrashTable(clock)
    return clock


# Targets that go dark under one request: none counted, as each run took over a minute.
@pytest.mark.parametrize("life", [TargetLife.ENDED, TargetLife.UNKNOWN])
def test_runs_that_outlast_the_time_of_a_count_are_counted_together(
    watcher, clock, life
):
    watcher.life_check.life = life
    for target in TARGETS[:MAX_CRASHES]:
        watch = watcher.watch(REQUEST, CALL)
        assert watch.find_block() is None
        assert begin(watch, target)
        clock.now += LAPSE_SECONDS + 10
        watch.record_failure(target, RESET)
        clock.now += 1
    assert watcher.watch(REQUEST, CALL).find_block() is not None


@pytest.mark.parametrize("end", ["answer", "failure", "not run", "withdrawn"])
def test_what_is_known_of_a_request_lapses_after_its_last_run(watcher, clock, end):
    watcher.life_check.life = TargetLife.UNKNOWN
    crash(watcher.watch(REQUEST, CALL), TARGETS[0])
    watch = watcher.watch(REQUEST, CALL)
    if end == "withdrawn":
        assert not watch.begin_run(TARGETS[1])
    else:
        assert begin(watch, TARGETS[1])
    clock.now += LAPSE_SECONDS + 10
    if end == "answer":
        watch.record_answer(500)
    elif end == "failure":
        watch.record_failure(TARGETS[1], RESET)
    elif end == "not run":
        watch.record_not_run()
    clock.now += LAPSE_SECONDS
    table = watcher.exchange.table
    assert not table.held
    assert not table.list_suspects(watch.digest)
    assert len(table) == 0
