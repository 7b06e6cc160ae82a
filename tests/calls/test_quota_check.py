"""Calls of a rate-limited workspace: passed, delayed, rejected."""

from __future__ import annotations

import eventlet
import pytest
from eventlet.event import Event
from greenlet import GreenletExit
from msgspec.structs import replace

from cedarchute.calls import quota_check
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.caller_identity import CallerIdentity
from cedarchute.calls.quota_check import QuotaCheck, compute_max_wait
from cedarchute.decisions.quota_share import MAX_WAIT_SECONDS, QuotaGrant
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_server import CallerServer
from cedarchute.relay.input_limits import InputLimits
from cedarchute.routing.workspace import Workspace
from cedarchute.turns.quota_client import NoQuotaServerError
from experiments.raw_caller import build_request

LIMITED = Workspace("limited", 0, 5.0, 5.0)
# Longer than any test runs, so a call that waits this long never ends by itself.
ENDLESS_SECONDS = 3600.0


class Client:
    """A quota client that gives the same answer to every request."""

    def __init__(self, answer):
        self.answer = answer
        self.asked = []

    def ask(self, workspace, limit, begins_program, patience_seconds):
        self.asked.append((workspace, limit.version, begins_program))
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


def make_call(workspace=LIMITED, previous_turn="", max_tokens=0, caller_timeout=4.0):
    context = ProgramContext("p", None, previous_turn, max_tokens)
    return Call("c", caller_timeout, context, CallerIdentity(workspace, b"x"))


def check(answer, call):
    client = Client(answer)
    QuotaCheck(client, Metrics()).check(replace(call, configuration_version=7))
    return client.asked


def test_only_calls_of_a_workspace_with_a_limit_are_asked_about():
    no = QuotaGrant(False, 1.0)
    assert check(no, make_call(Workspace("free"))) == []
    assert check(no, make_call(None)) == []
    assert check(QuotaGrant(True), make_call()) == [("limited", 7, False)]


def test_a_stream_that_goes_on_from_nothing_begins_a_program():
    asked = check(QuotaGrant(True), make_call(max_tokens=30))
    assert asked == [("limited", 7, True)]
    asked = check(QuotaGrant(True), make_call(max_tokens=30, previous_turn="t"))
    assert asked == [("limited", 7, False)]


@pytest.mark.parametrize(
    ("answer", "status"),
    [(QuotaGrant(False, 0.7, 0.3), 429), (NoQuotaServerError("none"), 503)],
)
def test_a_refusal_tells_when_to_come_back(answer, status):
    with pytest.raises(CallRefusedError) as caught:
        check(answer, make_call())
    assert caught.value.status == status
    assert caught.value.retry_after_seconds > 0
    assert caught.value.facts["workspace"] == "limited"


def test_a_call_waits_no_longer_than_a_part_of_its_callers_patience():
    assert compute_max_wait(make_call(caller_timeout=2.0)) == 0.5
    assert compute_max_wait(make_call(caller_timeout=60.0)) == MAX_WAIT_SECONDS
    assert compute_max_wait(make_call(caller_timeout=None)) == MAX_WAIT_SECONDS


def test_a_call_waits_as_long_as_its_keeper_says(monkeypatch):
    slept = []
    monkeypatch.setattr(quota_check.eventlet, "sleep", slept.append)
    check(QuotaGrant(True, 0.4), make_call())
    check(QuotaGrant(True), make_call())
    assert slept == [0.4]


def test_a_call_whose_caller_leaves_while_it_waits_is_not_sent():
    waiting = Event()
    ended = Event()
    sent = []
    limit = QuotaCheck(Client(QuotaGrant(True, ENDLESS_SECONDS)), Metrics())

    def handle(request, writer):
        waiting.send(None)
        try:
            limit.check(replace(make_call(), configuration_version=1))
            sent.append(request)
            ended.send("sent")
        except GreenletExit:
            ended.send("left")
            raise

    listener = eventlet.listen(("127.0.0.1", 0))
    server = CallerServer(listener, handle, InputLimits, Metrics())
    accepting = eventlet.spawn(server.serve_forever)
    caller = eventlet.connect(listener.getsockname())
    caller.sendall(build_request(b"/once/x", b"w1", b"a"))
    waiting.wait()
    caller.close()
    assert ended.wait() == "left"
    assert sent == []
    accepting.kill()
    listener.close()
