"""Requests to the pages of a box, by the protocol that reads their headers."""

from __future__ import annotations

import eventlet
import pytest
from eventlet.green import socket

from cedarchute.daemon.listeners import serve_app


@pytest.fixture
def address():
    listener = eventlet.listen(("127.0.0.1", 0))
    task = eventlet.spawn(serve_app, listener, echo)
    yield listener.getsockname()
    task.kill()


def echo(environ, start_response):
    body = environ["wsgi.input"].read()
    words = [
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get("QUERY_STRING", ""),
        environ.get("HTTP_X_ONE", ""),
        body.decode(),
    ]
    text = "|".join(words).encode()
    start_response("200 OK", [("Content-Length", str(len(text)))])
    return [text]


def exchange(address, *requests):
    """Send requests on one connection; return all that comes until it closes."""
    with socket.create_connection(address, timeout=2.0) as sock:
        sock.sendall(b"".join(requests))
        received = b""
        while data := sock.recv(65536):
            received += data
    return received


LAST = b"GET /end HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def test_requests_follow_each_other_on_a_connection(address):
    head = b"POST /a?b=c HTTP/1.1\r\nhost: a\r\nX-One:  1 \r\n"
    post = head + b"Content-Length: 4\r\n\r\nbody"
    received = exchange(address, post, post, LAST)
    assert received.count(b"POST|/a|b=c|1|body") == 2
    assert received.endswith(b"GET|/end|||")


def test_a_body_may_come_in_chunks(address):
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    received = exchange(address, head + b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", LAST)
    assert b"POST|/a|||body" in received


def test_an_older_version_closes_after_its_answer(address):
    assert exchange(address, b"GET /a HTTP/1.0\r\n\r\n").endswith(b"GET|/a|||")


@pytest.mark.parametrize(
    "line", [b"no header", b": nameless", b"Name : x", b" folded: x", b"X" * 70_000]
)
def test_a_bad_header_is_refused_and_closes(address, line):
    received = exchange(address, b"GET /a HTTP/1.1\r\n" + line + b"\r\n\r\n", LAST)
    assert b" 400 " in received
    assert b"/end" not in received


def test_too_many_headers_are_refused(address):
    headers = b"".join(b"X-%d: 1\r\n" % number for number in range(200))
    received = exchange(address, b"GET /a HTTP/1.1\r\n" + headers + b"\r\n", LAST)
    assert b" 400 " in received
    assert b"/end" not in received
