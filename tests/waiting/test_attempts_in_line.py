"""Calls that are sent to targets without a free place."""

from __future__ import annotations

import random
import time

import eventlet
import pytest

from cedarchute.address import Address
from cedarchute.calls.attempts import Attempts
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.target_client import TargetClient, build_request
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.relay.target_answer import TargetAnswer
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.route import Repeatability, Route
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry
from cedarchute.waiting.box_line import BoxLine
from cedarchute.waiting.call_order import CallOrder
from cedarchute.waiting.line_order import LineOrder

TARGET = TargetEntry("t", "s", Address("10.0.0.1", 1), "a", True, 1)
TURN_SECONDS = 0.05


class Places:
    """A target that refuses calls without running them while its place is taken."""

    def __init__(self, free=1):
        self.free = free
        self.heads = []
        self.ran = []

    def take(self, address, seconds, call_id=""):
        return Connection(self)

    def give_back(self, connection):
        pass


class Connection:
    """A connection to that target."""

    discarded = 0

    def __init__(self, places):
        self.places = places

    def send(self, data, seconds):
        self.data = bytes(data)
        self.places.heads.append(self.data)

    def read_answer(self, request_id, header_name, deadline, expects_body):
        answer = TargetAnswer()
        answer.is_complete = True
        if not self.places.free:
            answer.status = 503
            answer.headers = Headers(((b"Not-Executed", b"1"),))
            return answer
        self.places.free -= 1
        self.places.ran.append(request_id)
        answer.status = 200
        return answer

    def drop_rest(self, answer, deadline):
        pass

    def finish(self, answer):
        if answer.status == 200:
            self.places.free += 1

    def close(self):
        pass


class Accepting:
    """Keys and quotas that accept every call."""

    def revalidate(self, call):
        pass


class Routes:
    table = None


class Box:
    """Sends calls to the target, in order or not."""

    def __init__(self, places, in_order, max_calls=64):
        registry = TargetRegistry(lambda entry: None)
        registry.put(TARGET)
        balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
        self.metrics = Metrics()
        self.order = None
        if in_order:
            line = BoxLine(LineOrder(max_calls), self.metrics)
            self.order = CallOrder(line, Routes())
        self.client = TargetClient(
            places,
            balancer,
            Accepting(),
            None,
            self.metrics,
            call_order=self.order,
        )
        self.ended = []

    def start(self, name, rank=0, objective=8.0, repeatability=Repeatability.STREAM):
        route = Route("r", "h", b"/", repeatability, (), 8.0, objective, rank)
        return eventlet.spawn(self.run, name, route)

    def run(self, name, route):
        request = CallerRequest(b"POST", b"/", Headers(), b"", True, time.monotonic())
        call = Call(name, None, ProgramContext("", None, "", 0))
        attempts = Attempts(
            self.client,
            self.metrics,
            request,
            call,
            route,
            "s",
            b"",
            call_order=self.client.call_order,
        )
        try:
            opened = attempts.open()
        except CallRefusedError as error:
            self.ended.append((name, error.status))
            return
        eventlet.sleep(TURN_SECONDS)
        self.client.finish(opened)
        self.ended.append((name, 200))


def wait_for(threads):
    with eventlet.Timeout(10):
        for thread in threads:
            thread.wait()


def test_an_urgent_call_that_comes_last_runs_first():
    places = Places(free=0)
    box = Box(places, in_order=True)
    threads = [box.start(f"low {number}", rank=1) for number in range(4)]
    eventlet.sleep(0.01)
    threads.append(box.start("high", rank=0))
    eventlet.sleep(0.01)
    places.free = 1
    wait_for(threads)
    assert places.ran[0] == b"high"
    assert len(places.ran) == 5
    assert not box.order.line.waiters


def test_each_call_that_ends_lets_the_next_one_go(monkeypatch):
    monkeypatch.setattr("cedarchute.waiting.box_line.FALLBACK_SECONDS", 60.0)
    places = Places()
    box = Box(places, in_order=True)
    wait_for([box.start(str(number)) for number in range(4)])
    assert sorted(places.ran) == [b"0", b"1", b"2", b"3"]


def test_new_calls_do_not_take_places_from_more_urgent_ones_that_wait():
    places = Places(free=0)
    box = Box(places, in_order=True)
    high = box.start("high", rank=0)
    eventlet.sleep(0.01)
    places.free = 1
    low = box.start("low", rank=1)
    wait_for([high, low])
    assert places.ran == [b"high", b"low"]


@pytest.mark.parametrize("in_order", [True, False])
def test_a_call_is_refused_after_a_quarter_of_its_objective(in_order):
    box = Box(Places(free=0), in_order)
    started = time.monotonic()
    wait_for([box.start("c", objective=0.8)])
    assert box.ended == [("c", 503)]
    assert 0.2 <= time.monotonic() - started < 0.8


def test_calls_in_line_are_refused_unrun_when_the_box_stops():
    places = Places(free=0)
    box = Box(places, in_order=True)
    threads = [box.start(str(number)) for number in range(4)]
    eventlet.sleep(0.05)
    for thread in threads:
        eventlet.kill(thread, ShutdownError())
    eventlet.sleep(0.01)
    assert sorted(box.ended) == [(str(number), 503) for number in range(4)]
    assert not places.ran
    assert not box.order.line.waiters


def test_only_the_least_urgent_is_refused_when_the_line_is_full():
    places = Places(free=0)
    box = Box(places, in_order=True, max_calls=2)
    threads = [box.start(f"rank {rank}", rank=rank) for rank in (2, 1, 0)]
    eventlet.sleep(0.01)
    assert box.ended == [("rank 2", 503)]
    places.free = 1
    wait_for(threads)
    assert places.ran == [b"rank 0", b"rank 1"]


def test_engines_are_told_the_urgency_of_streams_only():
    places = Places()
    box = Box(places, in_order=True)
    wait_for([box.start("stream")])
    wait_for([box.start("plain", repeatability=Repeatability.ONCE)])
    assert b"\r\nRequest-Priority: 9\r\n" in places.heads[0]
    assert b"Request-Priority" not in places.heads[1]


def test_requests_are_the_same_without_an_order():
    places = Places()
    wait_for([Box(places, in_order=False).start("stream")])
    assert places.heads[0].split(b"\r\n")[0] == b"POST / HTTP/1.1"
    names = [line.split(b":")[0] for line in places.heads[0].split(b"\r\n")[1:-2]]
    assert names == [b"Deadline-Ms", b"Expect-Instance", b"Content-Length"]


def test_the_urgency_adds_one_header_and_changes_nothing_else():
    request = CallerRequest(
        b"POST",
        b"/",
        Headers(((b"Request-Priority", b"0"),)),
        b"a",
        True,
        0.0,
    )
    plain = build_request(request, TARGET, b"a", 1.0, None)
    assert b"Request-Priority" not in plain
    told = build_request(request, TARGET, b"a", 1.0, None, 3)
    assert told.replace(b"Request-Priority: 3\r\n", b"") == plain


def test_a_program_is_under_way_once_a_target_took_a_call():
    order = CallOrder(BoxLine(LineOrder(4), Metrics()), Routes())
    call = Call("a1", None, ProgramContext("p", None, "", 1, 5.0))
    route = Route("r", "h", b"/", Repeatability.STREAM, (), 8.0, 1.0)

    def describe():
        now = time.monotonic()
        return order.describe(call, route, "s", now, now + 8.0, now + 1.0)

    first = describe()
    assert not first.is_under_way
    assert first.slack_seconds == pytest.approx(4.0, abs=0.1)
    order.record_placed(call, first, False)
    order.record_end("s", 2.0)
    later = describe()
    assert later.is_under_way
    assert later.slack_seconds == pytest.approx(3.0, abs=0.1)
    assert order.find_urgency(later, route) < order.find_urgency(first, route)


@pytest.mark.parametrize("in_order", [True, False])
def test_calls_outlast_targets_that_are_away_for_a_moment(in_order):
    """All of their places are free again within what each call may wait."""
    places = Places(free=0)
    box = Box(places, in_order)
    threads = []
    for number in range(30):
        threads.append(box.start(str(number), objective=24.0))
        eventlet.sleep(0.025)
    places.free = 50
    wait_for(threads)
    assert [status for _, status in box.ended] == [200] * 30
