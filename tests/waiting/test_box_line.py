"""Requests that wait in the line of a box."""

from __future__ import annotations

import random
import time

import eventlet
import pytest
from greenlet import GreenletExit
from waiting.calls import make_call

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.metrics import Metrics
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.waiting.box_line import BoxLine
from cedarchute.waiting.line_order import LineOrder


@pytest.fixture
def line(monkeypatch):
    # No wake but those of the test.
    monkeypatch.setattr("cedarchute.waiting.box_line.FALLBACK_SECONDS", 60.0)
    return BoxLine(LineOrder(8), Metrics())


class Requests:
    """Requests that wait, and what became of them in order."""

    def __init__(self, line):
        self.line = line
        self.ended = []

    def start(self, name, max_wait=5.0, **fields):
        call = make_call(time.monotonic(), max_wait, **fields)
        thread = eventlet.spawn(self.run, name, call)
        eventlet.sleep(0)
        return thread

    def run(self, name, call):
        try:
            self.line.wait(call)
        except CallRefusedError as error:
            assert error.status == 503
            self.ended.append((name, error.retry_after_seconds))
        except ShutdownError:
            self.ended.append((name, "stopped"))
        except GreenletExit:
            self.ended.append((name, "left"))
        else:
            self.ended.append((name, "turn"))

    def settle(self):
        for _ in range(5):
            eventlet.sleep(0)


def test_a_free_place_wakes_the_most_urgent_request(line):
    requests = Requests(line)
    requests.start("low", route_rank=1)
    requests.start("high", route_rank=0)
    line.note_free("s")
    requests.settle()
    assert requests.ended == [("high", "turn")]
    line.note_placed(make_call(), has_waited=True)
    requests.settle()
    assert requests.ended[1:] == [("low", "turn")]
    assert not line.waiters


def test_a_caller_that_leaves_frees_its_place_in_the_line(line):
    requests = Requests(line)
    first = requests.start("first", route_rank=0)
    requests.start("second", route_rank=1)
    first.kill()
    requests.settle()
    line.note_free("s")
    requests.settle()
    assert requests.ended == [("first", "left"), ("second", "turn")]
    assert not line.waiters
    assert not line.order.waiting


def test_the_turn_of_a_caller_that_leaves_goes_to_the_next(line):
    requests = Requests(line)
    first = requests.start("first", route_rank=0)
    requests.start("second", route_rank=1)
    line.note_free("s")
    first.kill()
    requests.settle()
    assert ("second", "turn") in requests.ended


def test_requests_go_on_though_nobody_reports_a_free_place():
    line = BoxLine(LineOrder(8), Metrics())
    requests = Requests(line)
    threads = [requests.start(number) for number in range(4)]
    with eventlet.Timeout(3):
        for thread in threads:
            thread.wait()
    assert [end for _, end in requests.ended] == ["turn"] * 4


def test_nobody_waits_beyond_the_latest_start(line):
    requests = Requests(line)
    started = time.monotonic()
    threads = [requests.start(number, 0.1) for number in range(4)]
    with eventlet.Timeout(3):
        for thread in threads:
            thread.wait()
    assert time.monotonic() - started < 1.0
    assert len(requests.ended) == 4
    assert line.metrics.totals["waiting.refused"] == 4


def test_refusals_of_a_full_line_are_told_at_once_and_return_spread(line):
    requests = Requests(line)
    for number in range(14):
        requests.start(number)
    requests.settle()
    waits = [seconds for _, seconds in requests.ended]
    assert len(waits) == 6
    assert waits == sorted(set(waits))
    assert line.metrics.totals["refused.line_full"] == 6
    assert len(line.waiters) == 8


def test_a_stop_ends_every_wait(line):
    requests = Requests(line)
    threads = [requests.start(number) for number in range(4)]
    for thread in threads:
        eventlet.kill(thread, ShutdownError())
    requests.settle()
    assert [end for _, end in requests.ended] == ["stopped"] * 4
    assert not line.waiters
    assert not line.order.waiting
    totals = line.metrics.totals
    assert totals["waiting.entered"] == totals["waiting.left"] == 4


@pytest.mark.parametrize("seed", range(5))
def test_each_request_ends_whatever_happens(seed):
    """Requests come, leave and are stopped while places come free at random."""
    chance = random.Random(seed)
    line = BoxLine(LineOrder(8), Metrics())
    requests = Requests(line)
    threads = []
    for number in range(60):
        rank = chance.randrange(3)
        threads.append(requests.start(number, chance.uniform(0, 0.2), route_rank=rank))
        what = chance.randrange(5)
        if what == 0:
            line.note_free("s")
        if what == 1:
            eventlet.kill(chance.choice(threads))
        if what == 2:
            eventlet.kill(chance.choice(threads), ShutdownError())
        eventlet.sleep(chance.choice((0, 0, 0.005)))
        assert len(line.order.waiting) <= 8
    with eventlet.Timeout(10):
        while line.waiters:
            eventlet.sleep(0.01)
    assert len({name for name, _ in requests.ended}) == len(requests.ended) == 60
    assert not line.waiters
    assert not line.order.waiting
