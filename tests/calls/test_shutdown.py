"""Calls that a planned stop ends: which status they get."""

from __future__ import annotations

import math
import random
import time
from types import SimpleNamespace

import eventlet
import pytest
from eventlet.event import Event
from msgspec.structs import replace

from cedarchute.address import Address
from cedarchute.calls.attempts import Attempts
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_dispatcher import CallDispatcher
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.shutdown_deadline import ShutdownDeadline
from cedarchute.calls.target_client import TargetClient
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.reply_writer import ReplyWriter
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.relay.target_answer import TargetAnswer
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.route import Repeatability, Route
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry

ROUTE = Route("r", "h", b"/", Repeatability.ONCE, (), 8.0, 0.4)
NOTHING = SimpleNamespace(
    authenticate=lambda *_: None, describe_freshness=dict, check=lambda *_: None
)


class Waiting:
    """A step of a call that waits until it is interrupted."""

    def __init__(self):
        self.reached = Event()

    def check(self, *_):
        self.reached.send(None)
        Event().wait()

    def run(self, request, writer, call, route):
        self.check()


def make_request(patience_ms=None):
    fields = [(b"Host", b"h"), (b"Attempt-Id", b"a1")]
    if patience_ms is not None:
        fields.append((b"Deadline-Ms", b"%d" % patience_ms))
    headers = Headers(tuple(fields))
    return CallerRequest(b"POST", b"/x", headers, b"", True, time.monotonic())


def interrupt(waiting, quota_check=NOTHING, handler=None):
    """Handle a call, interrupt it where it waits, and return its status."""
    table = SimpleNamespace(find=lambda *_: ROUTE)
    routes = SimpleNamespace(wait=lambda _: table, version=1)
    dispatcher = CallDispatcher(
        routes, NOTHING, quota_check, handler, handler, ShutdownDeadline(), Metrics()
    )
    request = make_request()
    writer = ReplyWriter(request, lambda data: None, lambda: True)
    task = eventlet.spawn(dispatcher.handle, request, writer)
    waiting.reached.wait()
    eventlet.kill(task, ShutdownError())
    task.wait()
    return writer.status


def test_a_call_interrupted_before_it_is_sent_may_be_sent_elsewhere():
    waiting = Waiting()
    assert interrupt(waiting, quota_check=waiting) == 503


def test_a_call_interrupted_after_it_may_have_run_promises_nothing():
    waiting = Waiting()
    assert interrupt(waiting, handler=waiting) == 504


class WaitingPool(Waiting):
    """A pool whose targets take no connection."""

    def take(self, address, seconds, call_id=""):
        self.check()


class WaitingRefusal(Waiting):
    """A connection on which a refusal begins, and goes on for ever."""

    discarded = 0

    def send(self, data, seconds):
        pass

    def read_answer(self, *_):
        answer = TargetAnswer()
        answer.status = 421
        return answer

    def drop_rest(self, answer, deadline):
        self.check()

    def close(self):
        pass


class PoolOf:
    """A pool that gives out one connection."""

    def __init__(self, connection):
        self.connection = connection

    def take(self, address, seconds, call_id=""):
        return self.connection


class WaitingTarget(WaitingRefusal):
    """A connection whose target has the request and stays silent."""

    def read_answer(self, *_):
        self.check()


def interrupt_attempt(waiting, pool, possible_runs=0):
    """Interrupt an attempt of a call where it waits; return the call's status."""
    registry = TargetRegistry(lambda entry: None)
    address = Address("127.0.0.1", 1)
    registry.put(TargetEntry("t-1", "s", address, "a", True, 8))
    load_balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
    keys = SimpleNamespace(revalidate=lambda call: None)
    client = TargetClient(pool, load_balancer, keys, NOTHING, Metrics())

    class Handler:
        def run(self, request, writer, call, route):
            attempts = Attempts(client, Metrics(), request, call, route, "s", b"")
            attempts.possible_runs = possible_runs
            attempts.open()

    status = interrupt(waiting, handler=Handler())
    assert load_balancer.loads["t-1"].active == 0
    return status


def test_a_call_interrupted_while_it_connects_may_be_sent_elsewhere():
    pool = WaitingPool()
    assert interrupt_attempt(pool, pool) == 503


def test_a_call_interrupted_within_a_refusal_may_be_sent_elsewhere():
    refusal = WaitingRefusal()
    assert interrupt_attempt(refusal, PoolOf(refusal)) == 503


@pytest.mark.parametrize("connection", [WaitingPool(), WaitingRefusal()])
def test_a_call_that_ran_before_promises_nothing_when_interrupted(connection):
    pool = connection if isinstance(connection, WaitingPool) else PoolOf(connection)
    assert interrupt_attempt(connection, pool, possible_runs=1) in (502, 504)


def test_a_call_interrupted_after_it_was_sent_promises_nothing():
    target = WaitingTarget()
    assert interrupt_attempt(target, PoolOf(target)) == 504


class Answering:
    """A handler that answers at once."""

    def __init__(self):
        self.calls = 0

    def run(self, request, writer, call, route):
        self.calls += 1
        writer.write_whole(200, Headers(), b"done")


def handle_late(seconds_left, patience_ms=None, route=ROUTE, late=4.0):
    """Handle a call `late` seconds into a stop; return its status."""
    handler = Answering()
    table = SimpleNamespace(find=lambda *_: route)
    routes = SimpleNamespace(wait=lambda _: table, version=1)
    deadline = ShutdownDeadline()
    dispatcher = CallDispatcher(
        routes, NOTHING, NOTHING, handler, handler, deadline, Metrics()
    )
    request = make_request(patience_ms)
    deadline.begin(request.read_at - late, request.read_at + seconds_left)
    sent = []
    writer = ReplyWriter(request, sent.append, lambda: True)
    dispatcher.handle(request, writer)
    assert handler.calls == (writer.status == 200)
    if writer.status == 503:
        assert b"Retry-After: " in sent[0]
        assert b"Connection: close" in sent[0]
    return writer.status


def test_a_call_behind_a_response_that_closes_is_not_run():
    handler = Answering()
    table = SimpleNamespace(find=lambda *_: ROUTE)
    routes = SimpleNamespace(wait=lambda _: table, version=1)
    dispatcher = CallDispatcher(
        routes, NOTHING, NOTHING, handler, handler, ShutdownDeadline(), Metrics()
    )
    sent = []
    writer = ReplyWriter(make_request(), sent.append, lambda: True, follows_close=True)
    dispatcher.handle(writer.request, writer)
    assert (writer.status, handler.calls) == (503, 0)
    assert b"Attempt-Id: a1\r\n" in sent[0]
    assert b"Retry-After: " in sent[0]


STREAM = replace(ROUTE, repeatability=Repeatability.STREAM)


@pytest.mark.parametrize(
    ("status", "arguments"),
    [
        (503, {"seconds_left": 7.0}),
        (200, {"seconds_left": 9.0}),
        (503, {"seconds_left": 7.0, "route": STREAM}),
        (200, {"seconds_left": 9.0, "route": STREAM}),
        (503, {"seconds_left": 1.9, "patience_ms": 2000, "route": STREAM}),
        (200, {"seconds_left": 2.1, "patience_ms": 2000, "route": STREAM}),
        # Sent before callers can have learned of the stop.
        (200, {"seconds_left": 1.0, "late": 2.9}),
        (200, {"seconds_left": 1.0, "route": STREAM, "late": 2.9}),
    ],
)
def test_a_late_call_that_the_stop_would_cut_off_is_refused_at_once(status, arguments):
    assert handle_late(**arguments) == status


def wait_for_capacity(possible_runs):
    call = Call("a1", None, ProgramContext("", None, "", 0))
    attempts = Attempts(None, Metrics(), make_request(), call, ROUTE, "s", b"")
    attempts.possible_runs = possible_runs
    task = eventlet.spawn(attempts.wait_for_capacity)
    eventlet.sleep(0)
    eventlet.kill(task, ShutdownError())
    with pytest.raises(CallRefusedError) as caught:
        task.wait()
    return caught.value.status


def test_a_call_interrupted_while_targets_are_full_tells_whether_it_may_have_run():
    assert wait_for_capacity(possible_runs=0) == 503
    assert wait_for_capacity(possible_runs=1) in (502, 504)


def test_a_call_that_arrives_in_a_stop_waits_no_longer_than_the_process_lives():
    call = Call("a1", 8.0, ProgramContext("", None, "", 0))
    deadline = ShutdownDeadline()
    assert deadline.answers_due_at == math.inf
    assert deadline.limit(call, 100.0) is call
    deadline.begin(99.0, 105.0)
    assert deadline.limit(call, 100.0).caller_timeout_seconds == 5.0
    assert deadline.limit(call, 90.0).caller_timeout_seconds == 8.0
