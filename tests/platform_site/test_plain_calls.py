"""Plain calls through a real entry box, to targets that misbehave."""

from __future__ import annotations

import time

import pytest

from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until
from standins.raw_target import answer, refusal, reset

LONG = b"x" * 5000


def respond(request, connection):
    connection.sendall(answer(request))


def refuse(request, connection):
    connection.sendall(refusal(request))


def break_off(request, connection):
    connection.sendall(answer(request, b"0123456789")[:-4])
    connection.close()


def hang(request, connection):
    request.closed.wait(30)


def count(*targets):
    return sum(len(target.requests) for target in targets)


def test_a_request_passes_unaltered(serve, entry):
    target = serve("plain", respond)
    path = b"/once/%7Euser//a%2Fb/?q=%20x&&y=%C3%A9"
    headers = (
        b"X-One: first\r\nx-one: second\r\nCookie: Affinity-Key=17\r\nTE: gzip\r\n"
    )
    body = bytes(range(256))
    status, fields, received = call(entry, path, b"a1", body, headers=headers)
    assert (status, received) == (200, b"done")
    assert fields["server-seal"] == "seal-a1"
    request = target.requests[0]
    assert request.line == b"POST " + path + b" HTTP/1.1"
    assert request.body == body
    assert b"X-One: first\r\nx-one: second\r\n" in request.head + b"\r\n"
    assert request.header("Attempt-Id") == "a1"
    assert request.header("Cookie") == "Affinity-Key=17"
    assert request.header("Expect-Instance") == target.id
    assert request.header("TE") is None
    assert 7000 < int(request.header("Deadline-Ms")) <= 8000


def test_headers_that_only_the_system_sets_are_not_passed_on(serve, entry):
    target = serve("plain", respond)
    headers = (
        b"Hold: h\r\nPin-Ms: 5\r\nKv-Backup: x\r\nKv-From: y\r\nExpect-Instance: z\r\n"
    )
    assert call(entry, b"/once/x", b"a2", headers=headers)[0] == 200
    request = target.requests[0]
    names = ("Hold", "Pin-Ms", "Kv-Backup", "Kv-From")
    assert [request.header(name) for name in names] == [None] * 4
    assert request.header("Expect-Instance") == target.id


def test_a_body_in_chunks_arrives_whole(serve, entry):
    target = serve("plain", respond)
    with RawCaller(entry) as caller:
        caller.send(
            b"POST /once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: a3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        )
        caller.send(b"4;x=y\r\ndefg\r\n0\r\n\r\n")
        assert caller.read_answer()[0] == 200
    assert target.requests[0].body == b"abcdefg"
    assert target.requests[0].header("Content-Length") == "7"


def test_a_connection_carries_many_requests(serve, entry):
    serve("plain", respond)
    with RawCaller(entry) as caller:
        for number in range(5):
            caller.send(build_request(b"/once/x", b"k%d" % number))
            status, fields, _ = caller.read_answer()
            assert (status, fields["attempt-id"]) == (200, f"k{number}")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST /once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: b\r\n"
         b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
        (b"POST /once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: b\r\n"
         b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"GET /once/x HTTP/1.1\r\nHost: site.example\r\nHost: b\r\n\r\n", 400),
        (b"GET /once/x HTTP/1.1\r\nHost: site.example\r\n\r\n", 400),
        (b"GET /once/x HTTP/1.1\r\nHost : site.example\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /once/x HTTP/1.1\r\nHost: site.example\r\nX: " + LONG + b"\r\n\r\n"
         , 431),
        (b"POST /once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: b\r\n"
         b"Content-Length: 100001\r\n\r\n", 413),
        (b"GET /none/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: b\r\n\r\n", 404),
        (b"GET /once/x HTTP/1.1\r\nHost: other.example\r\nAttempt-Id: b\r\n\r\n", 404),
    ],
)  # fmt: skip
def test_bad_input_is_refused_at_once_and_reaches_no_target(serve, entry, data, status):
    target = serve("plain", respond)
    with RawCaller(entry) as caller:
        caller.send(data)
        assert caller.read_answer()[0] == status
    assert target.requests == []


def test_a_head_that_is_not_finished_in_time_is_refused(serve, entry):
    serve("plain", respond)
    with RawCaller(entry) as caller:
        caller.send(b"GET /once/x HTTP/1.1\r\nHost: ")
        assert caller.read_answer()[0] == 408
        assert caller.read_to_close() == b""


def test_a_target_that_did_not_run_a_call_is_passed_over(serve, entry):
    full, free = serve("plain", refuse, respond)
    for number in range(4):
        assert call(entry, b"/once/x", b"c%d" % number)[0] == 200
    assert len(free.requests) == 4


def test_with_every_target_full_the_refusal_says_when_to_come_back(serve, entry):
    target = serve("plain", refuse)
    status, fields, _ = call(entry, b"/once/x", b"d1")
    assert status == 503
    assert float(fields["retry-after"]) > 0
    assert "server-seal" not in fields
    assert target.requests


@pytest.mark.parametrize(
    "fault", [break_off, lambda r, c: reset(c), lambda r, c: c.close()]
)
def test_a_call_that_may_have_run_is_not_sent_again(serve, entry, fault):
    targets = serve("plain", fault, fault)
    status, fields, _ = call(entry, b"/once/x", b"e1")
    assert status == 502
    assert "server-seal" not in fields
    assert count(*targets) == 1


@pytest.mark.parametrize(
    "fault", [break_off, lambda r, c: reset(c), lambda r, c: c.close()]
)
def test_a_repeatable_call_is_answered_by_another_target(serve, entry, fault):
    targets = serve("plain", fault, respond)
    for number in range(3):
        assert call(entry, b"/again/x", b"f%d" % number)[2] == b"done"
    assert 3 <= count(*targets) <= 6


def test_a_repeatable_call_runs_on_no_more_targets_than_its_route_allows(serve, entry):
    targets = serve("plain", *[lambda r, c: reset(c)] * 4)
    assert call(entry, b"/again/x", b"g1")[0] == 502
    assert count(*targets) == 2


def test_a_repeatable_call_leaves_a_silent_target(serve, entry):
    targets = serve("plain", hang, respond)
    for number in range(3):
        assert call(entry, b"/again/x", b"h%d" % number)[0] == 200
    assert count(*targets) >= 3


def test_a_late_answer_of_an_earlier_call_reaches_nobody(serve, entry):
    def respond_twice(request, connection):
        connection.sendall(answer(request, b"own"))
        time.sleep(0.1)
        connection.sendall(answer(request, b"surplus"))

    target = serve("plain", respond_twice)
    with RawCaller(entry) as caller:
        for number in range(4):
            caller.send(build_request(b"/once/x", b"i%d" % number))
            status, fields, body = caller.read_answer()
            assert (status, body) == (200, b"own")
            assert fields["server-seal"] == f"seal-i{number}"
            time.sleep(0.05 * number)
    assert len(target.requests) == 4


def test_an_answer_in_the_place_of_the_next_is_skipped(serve, entry):
    seen = []

    def answer_the_one_before_first(request, connection):
        if seen:
            connection.sendall(answer(seen[-1], b"late"))
        seen.append(request)
        connection.sendall(answer(request, b"own"))

    serve("plain", answer_the_one_before_first)
    for number in range(4):
        status, fields, body = call(entry, b"/once/x", b"j%d" % number)
        assert (status, body) == (200, b"own")
        assert fields["server-seal"] == f"seal-j{number}"


def test_an_answer_without_length_is_whole_at_an_orderly_close_only(serve, entry):
    def close_after(request, connection):
        attempt = request.header("Attempt-Id").encode()
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n\r\nall" % attempt
        )
        if request.line.startswith(b"POST /once/whole"):
            connection.close()
        else:
            time.sleep(0.1)
            reset(connection)

    serve("plain", close_after)
    assert call(entry, b"/once/whole", b"l1")[2] == b"all"
    assert call(entry, b"/once/cut", b"l2")[0] == 502


def test_a_targets_own_failure_passes_with_its_proof(serve, entry):
    serve("plain", lambda r, c: c.sendall(answer(r, b"no", b"500 Oops")))
    status, fields, body = call(entry, b"/once/x", b"m1")
    assert (status, body, fields["server-seal"]) == (500, b"no", "seal-m1")


def test_the_time_of_a_route_bounds_a_call(serve, entry):
    serve("plain", hang)
    started = time.monotonic()
    assert call(entry, b"/short/x", b"n1")[0] == 504
    assert time.monotonic() - started < 5


def test_when_a_caller_leaves_its_target_is_told(serve, entry):
    target = serve("plain", hang)
    with RawCaller(entry) as caller:
        caller.send(build_request(b"/once/x", b"o1"))
        wait_until(lambda: target.requests, "the call arrives")
    assert target.requests[0].closed.wait(10)


def test_a_request_behind_another_waits_for_its_turn(serve, entry):
    target = serve("plain", respond)
    with RawCaller(entry) as caller:
        caller.send(build_request(b"/once/x", b"p1") + build_request(b"/once/x", b"p2"))
        assert caller.read_answer()[1]["attempt-id"] == "p1"
        assert caller.read_answer()[1]["attempt-id"] == "p2"
    assert len(target.requests) == 2


def test_bytes_that_are_no_request_cut_no_earlier_call_off(nodes, serve, entry):
    before = nodes.count("entry-1", "refused.input_400")

    def answer_late(request, connection):
        wait_until(
            lambda: nodes.count("entry-1", "refused.input_400") > before,
            "the bytes behind the request are read",
        )
        connection.sendall(answer(request))

    target = serve("plain", answer_late)
    with RawCaller(entry) as caller:
        caller.send(build_request(b"/once/x", b"q1"))
        wait_until(lambda: target.requests, "the call arrives")
        caller.send(b"no request at all\r\n\r\n")
        assert caller.read_answer()[0] == 200
        assert caller.read_answer()[0] == 400
        assert caller.read_to_close() == b""
    assert len(target.requests) == 1
