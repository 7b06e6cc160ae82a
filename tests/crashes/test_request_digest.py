"""Digests that the attempts of one request share."""

from __future__ import annotations

from msgspec.structs import replace

from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.caller_identity import CallerIdentity
from cedarchute.crashes.request_digest import (
    compute_content_digest,
    compute_request_digest,
)
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.routing.workspace import Workspace

FIELDS = (
    (b"Host", b"site.example"),
    (b"Attempt-Id", b"a1"),
    (b"Deadline-Ms", b"4000"),
    (b"Program-Id", b"p"),
    (b"Session-Id", b"line"),
    (b"Previous-Turn", b"t0"),
    (b"Cookie", b"other=1; Affinity-Key=17"),
)
REQUEST = CallerRequest(b"POST", b"/x/?q=1", Headers(FIELDS), b"body", True, 0.0)
CALL = Call("a1", 4.0, ProgramContext("p", None, "t0", 0))


def change_field(name, value):
    fields = tuple((n, value if n == name else v) for n, v in FIELDS)
    return replace(REQUEST, headers=Headers(fields))


def compute(request=REQUEST, call=CALL):
    return compute_request_digest(request, call)


def test_attempts_of_one_request_share_a_digest():
    assert compute(change_field(b"Attempt-Id", b"a2")) == compute()
    assert compute(change_field(b"Deadline-Ms", b"17")) == compute()
    assert compute(change_field(b"Cookie", b"Affinity-Key=17; other=2")) == compute()
    assert compute(replace(REQUEST, read_at=9.0, keep_alive=False)) == compute()


def test_requests_that_differ_have_digests_of_their_own():
    others = [
        replace(REQUEST, method=b"PUT"),
        replace(REQUEST, target=b"/x/?q=2"),
        replace(REQUEST, body=b"other"),
        change_field(b"Host", b"other.example"),
        change_field(b"Program-Id", b"p2"),
        change_field(b"Session-Id", b"line2"),
        change_field(b"Previous-Turn", b"t1"),
        change_field(b"Cookie", b"Affinity-Key=18"),
    ]
    assert len({compute(), *map(compute, others)}) == 1 + len(others)


def test_a_workspace_does_not_share_digests_with_others():
    identity = CallerIdentity(Workspace("w"))
    assert compute(call=replace(CALL, caller_identity=identity)) != compute()


def test_parts_do_not_run_into_each_other():
    first = replace(REQUEST, method=b"GET", target=b"/ab")
    second = replace(REQUEST, method=b"GET/", target=b"ab")
    assert compute(first) != compute(second)


def test_the_content_is_the_same_in_every_program():
    digest = compute_content_digest(REQUEST)
    assert compute_content_digest(change_field(b"Program-Id", b"p2")) == digest
    assert compute_content_digest(replace(REQUEST, body=b"other")) != digest
