"""Calls that a planned stop ends: which status they get."""

from __future__ import annotations

import math
import time
from types import SimpleNamespace

import eventlet
import pytest
from eventlet.event import Event

from cedarchute.calls.attempts import Attempts
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_dispatcher import CallDispatcher
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.shutdown_deadline import ShutdownDeadline
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.reply_writer import ReplyWriter
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.routing.route import Repeatability, Route

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


def make_request():
    headers = Headers(((b"Host", b"h"), (b"Attempt-Id", b"a1")))
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
    deadline.begin(105.0)
    assert deadline.limit(call, 100.0).caller_timeout_seconds == 5.0
    assert deadline.limit(call, 90.0).caller_timeout_seconds == 8.0
