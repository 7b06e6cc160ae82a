"""Writes the answer to one request of a caller."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from cedarchute.relay.headers import Headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.relay.caller_request import CallerRequest

NO_BODY_STATUSES: Final = frozenset((204, 304))
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class ReplyWriter:
    """The one way an answer goes out; knows how much of it has gone.

    Parameters
    ----------
    send : Callable
        Writes bytes to the caller, raises ``OSError`` when it is gone.
    must_close : Callable
        Tells whether the connection closes after this answer.
    """

    def __init__(
        self,
        request: CallerRequest,
        send: Callable[[bytes], None],
        must_close: Callable[[], bool],
    ) -> None:
        self.request = request
        self.send = send
        self.must_close = must_close
        self.started = False
        self.finished = False
        self.closes = False
        self.status = 0

    def write_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Write an answer whose body is all there."""
        head = self.build_head(status, headers)
        if status not in NO_BODY_STATUSES:
            head += b"Content-Length: %d\r\n" % len(body)
        if self.request.method == b"HEAD" or status in NO_BODY_STATUSES:
            body = b""
        self.started = True
        self.send(head + b"\r\n" + body)
        self.finished = True

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of an answer whose parts follow."""
        head = self.build_head(status, headers)
        self.started = True
        self.send(head + b"Transfer-Encoding: chunked\r\n\r\n")

    def write_part(self, part: bytes) -> None:
        """Write a part of a stream; it goes out at once."""
        if part:
            self.send(b"%x\r\n%s\r\n" % (len(part), part))

    def end_stream(self, part: bytes = b"") -> None:
        """Write the last part and the mark that the stream is whole."""
        last = b"%x\r\n%s\r\n" % (len(part), part) if part else b""
        self.send(last + b"0\r\n\r\n")
        self.finished = True

    def write_refusal(
        self, status: int, reason: str, headers: Headers | None = None
    ) -> None:
        """Write an answer of our own: a status and one sentence."""
        fields = (headers or Headers()).extend((b"Content-Type", b"text/plain"))
        self.write_whole(status, fields, reason.encode() + b"\n")

    def build_head(self, status: int, headers: Headers) -> bytes:
        """Return status line and headers, with the notice of a close."""
        try:
            phrase = HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b"Status"
        self.status = status
        self.closes = not self.request.keep_alive or self.must_close()
        if self.closes:
            headers = headers.extend((b"Connection", b"close"))
        return b"HTTP/1.1 %d %s\r\n%s" % (status, phrase, headers.encode())
