"""Writes the response to a caller's request."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from cedarchute.pressure.held_bytes import HeldCause
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.relay.headers import Headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.pressure.held_bytes import HeldBytes
    from cedarchute.relay.caller_request import CallerRequest

# If held bytes have a bound, a body of this size is sent apart from its head: joined,
# both the body and its copy would be held while the caller reads.
LARGE_BODY_BYTES: Final = 65_536
BODILESS_STATUSES: Final = frozenset((204, 304))
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerDisconnectedError(ConnectionError):
    """The caller's connection accepts no more bytes."""

    code = "caller_disconnected"


class ReplyWriter:
    """Writes a response, whole or as a chunked stream, and tracks its progress.

    Parameters
    ----------
    send : Callable
        Writes bytes to the caller's socket; raises ``OSError`` if that fails.
    must_close : Callable
        Returns whether the connection is closed after this response.
    follows_close : bool
        Whether an earlier response said that the connection closes. The caller may
        ignore any later one, so the request must not run (RFC 9112, section 9.6).
    held : HeldBytes
        Counts the parts of a stream while they are sent; whoever has a whole response
        counts it.

    Attributes
    ----------
    started : bool
        Whether bytes may have been sent.
    finished : bool
        Whether the response was sent completely.
    closes : bool
        Whether the connection is closed after the response.
    """

    def __init__(
        self,
        request: CallerRequest,
        send: Callable[[bytes], None],
        must_close: Callable[[], bool],
        follows_close: bool = False,
        held: HeldBytes = UNBOUNDED,
    ) -> None:
        self.held = held
        self.request = request
        self.send_bytes = send
        self.must_close = must_close
        self.follows_close = follows_close
        self.started = False
        self.finished = False
        self.closes = False
        self.status = 0

    @property
    def has_body(self) -> bool:
        """Whether a response to the request may have a body."""
        return self.request.method != b"HEAD"

    def write_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a response with a complete body."""
        head = self.build_head(status, headers)
        if status not in BODILESS_STATUSES:
            head += b"Content-Length: %d\r\n" % len(body)
        if not self.has_body or status in BODILESS_STATUSES:
            body = b""
        self.started = True
        if self.held is UNBOUNDED or len(body) < LARGE_BODY_BYTES:
            self.send(head + b"\r\n" + body)
        else:
            self.send(head + b"\r\n")
            self.send(body)
        self.finished = True

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the status line and headers of a chunked response."""
        head = self.build_head(status, headers)
        self.started = True
        self.send(head + b"Transfer-Encoding: chunked\r\n\r\n")

    def write_part(self, part: bytes) -> None:
        """Write one chunk; skips an empty one, which would end the stream."""
        if not part or not self.has_body:
            return
        self.held.add(HeldCause.ANSWER, len(part))
        try:
            self.send(b"%x\r\n%s\r\n" % (len(part), part))
        finally:
            self.held.remove(HeldCause.ANSWER, len(part))

    def end_stream(self, part: bytes = b"") -> None:
        """Write `part`, if any, and the last chunk, which ends the stream."""
        chunk = b"%x\r\n%s\r\n" % (len(part), part) if part else b""
        if self.has_body:
            self.send(chunk + b"0\r\n\r\n")
        self.finished = True

    def write_refusal(
        self, status: int, reason: str, headers: Headers | None = None
    ) -> None:
        """Write an error response with `reason` as its plain-text body."""
        fields = (headers or Headers()).extend((b"Content-Type", b"text/plain"))
        self.write_whole(status, fields, reason.encode() + b"\n")

    def send(self, data: bytes) -> None:
        """Send bytes; raise `CallerDisconnectedError` if the caller's socket fails."""
        try:
            self.send_bytes(data)
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error

    def build_head(self, status: int, headers: Headers) -> bytes:
        """Return the status line and headers; adds ``Connection: close`` if due."""
        try:
            phrase = HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b"Status"
        self.status = status
        self.closes = not self.request.keep_alive or self.must_close()
        if self.closes:
            headers = headers.extend((b"Connection", b"close"))
        return b"HTTP/1.1 %d %s\r\n%s" % (status, phrase, headers.encode())
