"""What the check of a limit tells the ledger, and what it tells callers."""

from __future__ import annotations

import time

import pytest
from msgspec.structs import replace

from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_dispatcher import CallDispatcher
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.caller_identity import CallerIdentity
from cedarchute.calls.quota_check import QuotaCheck
from cedarchute.calls.shutdown_deadline import ShutdownDeadline
from cedarchute.cli.explain import KNOWN_FIELDS
from cedarchute.decisions.calls_per_turn import MIN_TURNS
from cedarchute.decisions.quota_share import QuotaGrant
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.input_limits import InputLimits
from cedarchute.routing.active_route_table import ActiveRouteTable
from cedarchute.routing.route import Repeatability, Route
from cedarchute.routing.route_table import RouteTable
from cedarchute.routing.workspace import Workspace

LIMITED = Workspace("limited", 0, 5.0, 5.0)
REFUSED = QuotaGrant(False, 2.0, 3.0, refuses_program=True)


class Client:
    """A quota client that gives the same answer and keeps what it was asked."""

    def __init__(self, answer):
        self.answer = answer
        self.asked = []

    def ask(self, *request):
        self.asked.append(request)
        return self.answer


def make_call(program="p", max_tokens=0, previous_turn="", left=None):
    context = ProgramContext(program, None, previous_turn, max_tokens, left)
    call = Call("c", 4.0, context, CallerIdentity(LIMITED, b"x"))
    return replace(call, kind="planner")


def make_check(answer=None, whole_programs=True):
    metrics = Metrics()
    client = Client(answer or QuotaGrant(True))
    return QuotaCheck(client, metrics, whole_programs=whole_programs), client, metrics


def test_only_turns_of_programs_are_told_to_the_ledger():
    check, client, _ = make_check()
    check.check(make_call(max_tokens=30))
    check.check(make_call(max_tokens=30, previous_turn="t"))
    for call in (make_call(), make_call(program="", max_tokens=30)):
        check.check(call)
    first, second = (asked[4] for asked in client.asked[:2])
    assert (first.program, first.kind) == ("limited\np", "planner")
    assert first.begins_program
    assert not second.begins_program
    assert [len(asked) for asked in client.asked[2:]] == [4, 4]


def test_with_the_setting_off_nothing_is_told():
    check, client, _ = make_check(whole_programs=False)
    check.check(make_call(max_tokens=30))
    assert [len(asked) for asked in client.asked] == [4]


def test_granted_calls_of_programs_make_the_mean_that_is_told():
    check, client, _ = make_check()
    for _ in range(MIN_TURNS):
        check.check(make_call(max_tokens=30))
        check.check(make_call())
        check.check(make_call(program=""))
    client.answer = QuotaGrant(False, 1.0)
    for _ in range(5):
        with pytest.raises(CallRefusedError):
            check.check(make_call())
    client.answer = QuotaGrant(True)
    check.check(make_call(max_tokens=30))
    assert client.asked[-1][4].calls_per_turn == 2.0


@pytest.mark.parametrize(("left", "in_time"), [(None, True), (5.0, True), (1.5, False)])
def test_a_refused_program_is_told_when_the_whole_of_it_fits(left, in_time):
    check, _, metrics = make_check(REFUSED)
    with pytest.raises(CallRefusedError) as caught:
        check.check(make_call(max_tokens=30, left=left))
    assert caught.value.status == 429
    assert caught.value.retry_after_seconds == 2.0
    assert caught.value.facts["in_time"] is in_time
    assert caught.value.facts["kind"] == "planner"
    assert metrics.totals["refused.whole_program"] == 1
    assert metrics.totals["refused.quota"] == 0


@pytest.mark.parametrize("answer", [REFUSED, QuotaGrant(False, 1.0, 0.3)])
def test_facts_overwrite_no_field_of_a_log_line(answer):
    check, _, _ = make_check(answer)
    with pytest.raises(CallRefusedError) as caught:
        check.check(make_call(max_tokens=30))
    assert "tokens_left" in caught.value.facts
    assert not set(caught.value.facts) & KNOWN_FIELDS


class Unlocked:
    """Authenticates every call as of the limited workspace."""

    def authenticate(self, request, call, route, table):
        return CallerIdentity(LIMITED, b"x")


def test_an_admitted_call_is_judged_by_the_route_that_it_comes_by():
    check, client, _ = make_check()
    metrics = Metrics()
    routes = ActiveRouteTable(metrics)
    found = [
        Route(name, "h", b"/%s/" % name.encode(), Repeatability.STREAM, (), 8.0, 0.4)
        for name in ("planner", "writer")
    ]
    routes.update_if_newer(RouteTable(1, tuple(found), {}, InputLimits()), "test")
    dispatcher = CallDispatcher(
        routes, Unlocked(), check, None, None, ShutdownDeadline(), metrics
    )
    for route in found:
        context = ProgramContext("p", None, "", 30)
        request = CallerRequest(
            b"POST",
            route.prefix + b"x",
            Headers(((b"Host", b"h"),)),
            b"",
            True,
            time.monotonic(),
        )
        dispatcher.admit(request, Call("c", 4.0, context))
    assert [asked[4].kind for asked in client.asked] == ["planner", "writer"]
    assert {asked[0] for asked in client.asked} == {"limited"}
