"""Answers of targets that are rare or none in HTTP, through a real entry box."""

from __future__ import annotations

import itertools
import threading

import pytest
from turn_callers import turn_headers

from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until
from standins.malformed_answers import MALFORMED, RIGHT_BODY, fill_for
from standins.raw_target import answer, read_id

HEAD_END = b"\r\n\r\n"
# Well below the timeout of the routes.
PATIENCE_MS = 3000
BAD_GATEWAY = 502


def read_head(caller):
    """Return the status line and the headers of the next answer."""
    head = caller.read_until(HEAD_END)
    assert head.endswith(HEAD_END), "closed without an answer"
    return head


def write_head(request, status, fields=b""):
    return b"HTTP/1.1 %s\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n%s\r\n" % (
        status,
        read_id(request),
        fields,
    )


def send(caller, path, call_id, method=b"POST"):
    caller.send(build_request(path, call_id, method=method, patience=PATIENCE_MS))


@pytest.mark.parametrize(
    ("method", "status", "fields"),
    [
        (b"HEAD", b"200 OK", b"Content-Length: 5\r\n"),
        (b"HEAD", b"200 OK", b"Transfer-Encoding: chunked\r\n"),
        (b"HEAD", b"200 OK", b""),
        (b"GET", b"304 Not Modified", b"Content-Length: 5\r\n"),
        (b"GET", b"304 Not Modified", b""),
        (b"GET", b"204 No Content", b""),
    ],
)
def test_an_answer_that_has_no_body_is_not_waited_for(
    serve, entry, method, status, fields
):
    target = serve("plain", lambda r, c: c.sendall(write_head(r, status, fields)))
    with RawCaller(entry) as caller:
        for number in range(2):
            send(caller, b"/once/x", b"oa%d" % number, method)
            assert read_head(caller).startswith(b"HTTP/1.1 " + status[:3])
    assert len(target.requests) == 2


@pytest.mark.parametrize(
    "status",
    [b"101 Switching Protocols", b"199 Odd", b"299 Odd", b"700 Odd", b"999 Odd"],
)
def test_a_call_whose_answer_has_a_rare_status_gets_a_status(serve, entry, status):
    serve("plain", lambda r, c: (c.sendall(answer(r, status=status)), c.close()))
    with RawCaller(entry) as caller:
        send(caller, b"/once/x", b"ob1")
        assert read_head(caller).startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_a_body_where_none_may_be_reaches_nobody(serve, entry, status):
    serve("plain", lambda r, c: c.sendall(answer(r, b"surplus", status)))
    with RawCaller(entry) as caller:
        for number in range(3):
            send(caller, b"/again/x", b"oc%d" % number)
            head = read_head(caller)
            assert head.startswith(b"HTTP/1.1 " + status[:3])
            assert b"Attempt-Id: oc%d\r\n" % number in head
        assert caller.rest == b""


@pytest.mark.parametrize("path", [b"/once/x", b"/again/x"])
def test_a_kept_connection_that_closes_as_a_call_comes_gets_a_status(
    serve, entry, path
):
    closing = threading.Event()

    def close_second(request, connection):
        if closing.is_set():
            connection.close()
            return
        connection.sendall(answer(request))

    target = serve("plain", close_second)
    with RawCaller(entry) as caller:
        send(caller, path, b"od1")
        assert caller.read_answer()[0] == 200
        closing.set()
        send(caller, path, b"od2")
        status = caller.read_answer()[0]
    assert status in (502, 503)
    wait_until(lambda: len(target.requests) >= 2, "the call was sent")


@pytest.mark.parametrize("shape", ["status_000", "name_blank", "protocol_switched"])
def test_a_call_that_may_be_repeated_goes_on_elsewhere(serve, entry, shape):
    def write_malformed(request, connection):
        connection.sendall(fill_for(MALFORMED[shape], request))

    targets = serve(
        "plain", write_malformed, lambda r, c: c.sendall(answer(r, RIGHT_BODY))
    )
    for number in itertools.count():
        call_id = b"oe%d" % number
        status, _, body = call(entry, b"/again/x", call_id, patience=PATIENCE_MS)
        assert (status, body) == (200, RIGHT_BODY)
        if all(target.requests for target in targets):
            break


# The malformed bytes come behind a surplus answer: known at once, and told only late.
@pytest.mark.parametrize(
    ("path", "service"), [(b"/once/x", "plain"), (b"/turn/x", "model")]
)
def test_malformed_bytes_behind_a_surplus_answer_are_a_failure_at_once(
    serve, entry, path, service
):
    def write_surplus_first(request, connection):
        surplus = answer(request).replace(b"of1", b"of0")
        malformed = fill_for(MALFORMED["status_000"], request)
        connection.sendall(surplus + malformed)

    serve(service, write_surplus_first)
    headers = turn_headers("of") if service == "model" else b""
    status = call(entry, path, b"of1", headers=headers, patience=PATIENCE_MS)[0]
    assert status == BAD_GATEWAY


@pytest.mark.parametrize("status", [b"299", b"418", b"499", b"599"])
def test_a_status_without_a_name_is_passed_on(serve, entry, status):
    serve("plain", lambda r, c: c.sendall(answer(r, RIGHT_BODY, status + b" Odd")))
    answered, _, body = call(entry, b"/once/x", b"og1", patience=PATIENCE_MS)
    assert (answered, body) == (int(status), RIGHT_BODY)
