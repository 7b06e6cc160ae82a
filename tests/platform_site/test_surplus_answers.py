"""Answers that targets send twice, through a real entry box."""

from __future__ import annotations

import threading
import time

import pytest

from experiments.raw_caller import RawCaller, build_request, call
from standins.raw_target import answer, chunk, event, read_id, refusal, stream_head

WORK_SECONDS = 0.1
PAUSE_SECONDS = 0.02
REFUSED = b"Not-Executed: 1\r\n"


class DoublingTarget:
    """Serves calls, and sends surplus answers in the place of the next one.

    Attributes
    ----------
    surplus : dict of socket to bytes
        What is sent on a connection when its next request has come.
    runs : list of bytes
        The ids of the calls that were run.
    sent : int
        How many surplus answers were sent.
    """

    def __init__(self, work):
        self.work = work
        self.lock = threading.Lock()
        self.surplus = {}
        self.runs = []
        self.sent = 0

    def __call__(self, request, connection):
        surplus = self.surplus.pop(connection, b"")
        if surplus:
            self.sent += 1
            connection.sendall(surplus)
        self.work(self, request, connection)

    def run(self, request, connection, body=b""):
        with self.lock:
            self.runs.append(read_id(request))
        time.sleep(WORK_SECONDS)
        connection.sendall(answer(request, body or b"own-" + read_id(request)))

    def run_stream(self, request, connection):
        with self.lock:
            self.runs.append(read_id(request))
        connection.sendall(stream_head(request) + chunk(event(1, b"a")))
        time.sleep(WORK_SECONDS)
        connection.sendall(chunk(event(2, b"b")) + b"0\r\n\r\n")


def refuse_first(refusal_parts):
    """Return work of a target that refuses each call once, and says so twice."""
    refused = set()

    def work(target, request, connection):
        if read_id(request) in refused:
            target.run(request, connection)
            return
        refused.add(read_id(request))
        parts = refusal_parts(request)
        for part in parts:
            connection.sendall(part)
            time.sleep(PAUSE_SECONDS)
        target.surplus[connection] = b"".join(parts)

    return work


def split_refusal(request):
    """Return a refusal whose body comes after its head."""
    whole = answer(request, b"busy", b"503 Busy", REFUSED)
    return [whole[:-4], whole[-4:-2], whole[-2:]]


# TWICE: a surplus refusal was taken for the answer to the next send of the same call,
# which was then sent a third time while its second send ran.
@pytest.mark.parametrize(
    "refusal_parts",
    [
        lambda request: [refusal(request)],
        lambda request: [answer(request, b"", b"429 Too Many", REFUSED)],
        lambda request: [answer(request, b"", b"408 Timeout", REFUSED)],
        lambda request: [answer(request, b"", b"421 Misdirected Request")],
        split_refusal,
    ],
    ids=["503", "429", "408", "421", "body in parts"],
)
def test_a_surplus_refusal_runs_no_call_twice(serve, entry, refusal_parts):
    doubling = DoublingTarget(refuse_first(refusal_parts))
    serve("plain", doubling)
    for number in range(4):
        call_id = b"ta%d" % number
        status, fields, body = call(entry, b"/once/x", call_id)
        assert (status, body) == (200, b"own-" + call_id)
        assert fields["server-seal"] == f"seal-{call_id.decode()}"
    assert sorted(doubling.runs) == [b"ta%d" % number for number in range(4)]


# TWICE: the same, whether the surplus refusal comes with the first one or on the idle
# connection, at about the time of the next send.
@pytest.mark.parametrize("seconds", [0.0, 0.01, 0.03, 0.05])
def test_a_surplus_refusal_at_any_time_runs_no_call_twice(serve, entry, seconds):
    refused = set()

    def work(target, request, connection):
        if read_id(request) in refused:
            target.run(request, connection)
            return
        refused.add(read_id(request))
        if not seconds:
            connection.sendall(2 * refusal(request))
            return
        connection.sendall(refusal(request))
        time.sleep(seconds)
        connection.sendall(refusal(request))

    doubling = DoublingTarget(work)
    serve("plain", doubling)
    for number in range(6):
        call_id = b"th%d" % number
        status, _, body = call(entry, b"/once/x", call_id)
        assert (status, body) == (200, b"own-" + call_id)
    assert sorted(doubling.runs) == [b"th%d" % number for number in range(6)]


# TWICE: the same for a stream.
def test_a_surplus_refusal_runs_no_stream_twice(serve, entry):
    refused = set()

    def work(target, request, connection):
        if read_id(request) in refused:
            target.run_stream(request, connection)
            return
        refused.add(read_id(request))
        connection.sendall(refusal(request))
        target.surplus[connection] = refusal(request)

    doubling = DoublingTarget(work)
    serve("model", doubling)
    for number in range(4):
        status, _, body = call(entry, b"/stream/x", b"ti%d" % number, b"a")
        assert (status, body.count(b"data:")) == (200, 2)
    assert sorted(doubling.runs) == [b"ti%d" % number for number in range(4)]


def build_anonymous(status, fields=b""):
    """Return a whole answer without an id."""
    return b"HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n" % (status, fields)


def precede_by(surplus):
    """Return work of a target that has bytes wait behind each of its answers."""

    def work(target, request, connection):
        if request.line.startswith(b"POST /stream/"):
            target.run_stream(request, connection)
        else:
            target.run(request, connection)
        target.surplus[connection] = surplus

    return work


# MIXED: bytes without an id behind a whole answer reached the caller of the next
# request as its answer.
@pytest.mark.parametrize("path", [b"/once/x", b"/again/x"])
def test_bytes_behind_an_answer_reach_no_later_caller(serve, entry, path):
    surplus = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"
    doubling = DoublingTarget(precede_by(surplus))
    serve("plain", doubling)
    with RawCaller(entry) as caller:
        for number in range(4):
            call_id = b"tg%d" % number
            caller.send(build_request(path, call_id))
            status, fields, body = caller.read_answer()
            assert (status, body) == (200, b"own-" + call_id)
            assert fields["server-seal"] == f"seal-{call_id.decode()}"
    assert doubling.sent >= 1


# TWICE: a failure without an id, behind the answer to another call, was taken for the
# answer to the call that waited, which was sent again while it ran.
@pytest.mark.parametrize(
    "surplus",
    [
        build_anonymous(b"503 Service Unavailable", REFUSED),
        build_anonymous(b"429 Too Many Requests", REFUSED),
        build_anonymous(b"408 Request Timeout", REFUSED),
        build_anonymous(b"421 Misdirected Request"),
        build_anonymous(b"400 Bad Request", REFUSED),
        build_anonymous(b"500 Internal Server Error"),
    ],
    ids=["503", "429", "408", "421", "400", "500"],
)
@pytest.mark.parametrize("path", [b"/once/x", b"/again/x"])
def test_a_failure_without_an_id_answers_no_later_call(serve, entry, path, surplus):
    doubling = DoublingTarget(precede_by(surplus))
    serve("plain", doubling)
    with RawCaller(entry) as caller:
        for number in range(4):
            call_id = b"tb%d" % number
            caller.send(build_request(path, call_id))
            status, _, body = caller.read_answer()
            assert (status, body) == (200, b"own-" + call_id)
    assert doubling.runs == [b"tb%d" % number for number in range(4)]
    assert doubling.sent >= 1


# TWICE: the same before a stream, which then ran at two places.
def test_a_failure_without_an_id_ends_no_later_stream(serve, entry):
    surplus = build_anonymous(b"503 Service Unavailable", REFUSED)
    doubling = DoublingTarget(precede_by(surplus))
    serve("model", doubling)
    for number in range(4):
        call_id = b"tc%d" % number
        status, _, body = call(entry, b"/stream/x", call_id, b"a")
        assert (status, body.count(b"data:")) == (200, 2)
    assert doubling.runs == [b"tc%d" % number for number in range(4)]
    assert doubling.sent >= 1


# REFUSED: what stands before a target may turn a call away without its id. Nothing else
# can be outstanding on a new connection, so the refusal counts there.
def test_a_refusal_without_an_id_counts_on_a_new_connection(serve, entry):
    turned_away = set()

    def work(request, connection):
        if read_id(request) in turned_away:
            connection.sendall(answer(request, extra=b"Connection: close\r\n"))
            return
        turned_away.add(read_id(request))
        front = build_anonymous(b"503 Service Unavailable", REFUSED)
        connection.sendall(front)

    target = serve("plain", work)
    for number in range(6):
        assert call(entry, b"/once/x", b"td%d" % number)[0] == 200
    assert len(target.requests) == 12


# MIXED: a caller that asked again under its id got the surplus answer to the first time
# that it asked, while the call ran anew.
@pytest.mark.parametrize("path", [b"/once/x", b"/again/x"])
def test_a_surplus_answer_does_not_answer_the_same_id_again(serve, entry, path):
    def work(target, request, connection):
        body = b"answer %d" % len(target.runs)
        target.run(request, connection, body)
        target.surplus[connection] = answer(request, body)

    doubling = DoublingTarget(work)
    serve("plain", doubling)
    for number in range(3):
        status, _, body = call(entry, path, b"te")
        assert (status, body) == (200, b"answer %d" % number)


# REFUSED: a caller that was turned away and asks again under its id was told that the
# call had not run by the surplus copy of the first refusal, and it ran.
def test_a_caller_that_comes_back_under_its_id_is_told_the_truth(serve, entry):
    is_full = threading.Event()
    is_full.set()

    def work(target, request, connection):
        if not is_full.is_set():
            target.run(request, connection)
            return
        connection.sendall(refusal(request))
        target.surplus[connection] = refusal(request)

    doubling = DoublingTarget(work)
    serve("plain", doubling)
    assert call(entry, b"/once/x", b"tf")[0] == 503
    is_full.clear()
    status, _, body = call(entry, b"/once/x", b"tf")
    assert (status, body) == (200, b"own-tf")
    assert doubling.runs == [b"tf"]
