"""Reads requests of pages within bounds, and heads without a parser for mail."""

from __future__ import annotations

import io
from email.message import Message
from typing import Final

from eventlet.wsgi import MAX_TOTAL_HEADER_SIZE, HttpProtocol

from cedarchute.bounded_reader import BoundedReader
from cedarchute.daemon.page_refused_error import PageRefusedError
from cedarchute.pressure.body_pace import BodyPace
from cedarchute.pressure.held_amount import HeldAmount
from cedarchute.pressure.held_bytes import HeldCause

HTTP_1_1: Final = "HTTP/1.1"
MAX_HEADERS: Final = 100
# How long a head may take from its first byte on, and a whole request with its body.
HEAD_SECONDS: Final = 5.0
BODY_SECONDS: Final = 30.0
# The same for a large body: the slowest link that bodies come over.
MIN_BODY_BYTES_PER_SECOND: Final = 131_072


class LeanProtocol(HttpProtocol):
    """The protocol of eventlet's WSGI server, with a cheaper way to read headers.

    The mail parser of the standard library is a fifth of what a small request costs.
    """

    def setup(self) -> None:
        """Bound what is read of each request, in bytes and in time."""
        super().setup()
        raw = self.rfile.detach()
        self.reader = BoundedReader(raw, MAX_TOTAL_HEADER_SIZE, HEAD_SECONDS)
        self.reader.pace = BodyPace(self.server.held)
        self.rfile = io.BufferedReader(self.reader)

    def _read_request_line(self) -> bytes:
        """Wait for a request as long as connections are kept, then read its line."""
        self.reader.max_bytes = MAX_TOTAL_HEADER_SIZE
        self.reader.max_seconds = self.server.keepalive
        self.reader.restart()
        self.connection.settimeout(self.server.keepalive)
        self.rfile.peek(1)
        self.reader.max_seconds = HEAD_SECONDS
        self.reader.restart()
        self.connection.settimeout(HEAD_SECONDS)
        return self.rfile.readline(self.server.url_length_limit)

    def handle_one_response(self) -> None:
        """Handle a request, or refuse it if there is no room for its body."""
        self.server.begin_request(self.connection)
        self.connection.settimeout(self.server.socket_timeout)
        body = HeldAmount(self.server.held, HeldCause.REQUEST_BODY)
        try:
            size = self.server.admit(self.environ, body)
            self.reader.max_bytes = MAX_TOTAL_HEADER_SIZE + size
            self.reader.max_seconds = find_body_seconds(size)
            self.reader.restart()
            super().handle_one_response()
        except PageRefusedError as refusal:
            self.server.record_refusal(self.path, refusal)
            self.close_connection = True
            self.wfile.write(refusal.build_response())
        finally:
            if body.count:
                body.release()
            self.server.end_request(self.connection)

    def parse_request(self) -> bool:
        """Read the request line and the headers; return whether they are valid."""
        words = self.raw_requestline.decode("latin-1").split()
        if len(words) != 3 or words[2] != HTTP_1_1:
            return super().parse_request()
        self.requestline = " ".join(words)
        self.command, self.path, self.request_version = words
        self.close_connection = False
        headers = self.read_headers()
        if headers is None:
            self.close_connection = True
            self.send_error(400, "Bad header")
            return False
        self.headers = headers
        self.close_connection = headers.get("connection", "").lower() == "close"
        return True

    def read_headers(self) -> Message | None:
        """Return the headers, or None if a line is none or there are too many."""
        headers = Message()
        for _ in range(MAX_HEADERS):
            line = self.rfile.readline().decode("latin-1")
            if line in ("\r\n", "\n"):
                return headers
            name, separator, value = line.partition(":")
            if not separator or not name or name != name.strip():
                return None
            headers[name] = value.strip()
        return None


def find_body_seconds(count: int) -> float:
    """Return how long a body of `count` bytes may take."""
    return BODY_SECONDS + count / MIN_BODY_BYTES_PER_SECOND
