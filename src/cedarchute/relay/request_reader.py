"""Parses the byte stream of a caller connection into requests."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING, Final

import httptools

from cedarchute.pressure.held_amount import HeldAmount
from cedarchute.pressure.held_bytes import FULL_RETRY_SECONDS, HeldCause
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.continue_expected import ContinueExpected
from cedarchute.relay.framing_bound import FramingBound
from cedarchute.relay.headers import Headers
from cedarchute.relay.request_error import RequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.pressure.held_bytes import HeldBytes
    from cedarchute.relay.input_limits import InputLimits

# A request with a body up to this size is read also at the bound on held bytes: its
# handler refuses it, and the connection stays open.
SMALL_BODY_BYTES: Final = 16_384
# A header is a pair of objects with a name and a value, however short these are.
HEADER_OBJECT_BYTES: Final = 200
# A colon and the end of the line; the space before a value is optional.
MIN_HEADER_FRAMING_BYTES: Final = 3
# Heads of one connection up to this size are a part of what a connection costs.
ORDINARY_HEAD_BYTES: Final = 8_192


class RequestReader:
    """Collects complete requests and enforces size limits.

    The parser rejects duplicate lengths, a length together with chunked encoding,
    folded headers and bare line feeds, which prevents request smuggling.

    Parameters
    ----------
    read_limits : Callable
        Returns the limits in force; those at its beginning apply to a request.
    held : HeldBytes
        Bounds what all connections hold together.

    Attributes
    ----------
    begun_at : float
        Monotonic time at which the newest request began; 0 before the first one.
    has_completed : bool
        Whether the bytes that were fed last completed a request.
    bodies : HeldAmount
        Bytes of bodies that are read or announced; whoever handles a request takes off
        those of its body.
    heads : HeldAmount
        What the heads of requests cost that are read, wait or are handled, beyond the
        ordinary.
    head_total : int
        What these heads cost altogether.
    framing : FramingBound
        Counts what frames the body that is being read.
    """

    def __init__(
        self, read_limits: Callable[[], InputLimits], held: HeldBytes = UNBOUNDED
    ) -> None:
        self.read_limits = read_limits
        self.held = held
        self.bodies = HeldAmount(held, HeldCause.REQUEST_BODY)
        self.heads = HeldAmount(held, HeldCause.REQUEST_HEAD)
        self.head_total = 0
        self.framing = FramingBound()
        self.limits = read_limits()
        # Called for each chunk, which may have a single byte: joined at once, and
        # without Python code, a body costs its bytes and not its pieces.
        self.body = bytearray()
        self.on_body = self.body.extend
        self.parser = httptools.HttpRequestParser(self)
        self.ready: deque[CallerRequest | ContinueExpected] = deque()
        self.in_message = False
        self.in_body = False
        self.expects_continue = False
        self.begun_at = 0.0
        self.has_completed = False
        self.reset()

    def reset(self) -> None:
        """Clear the state of the current message."""
        self.target = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.body.clear()
        self.header_bytes = 0
        self.reserved_bytes = 0
        self.counted_bytes = 0
        self.head_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes; complete requests are appended to `ready`.

        So is a mark behind them if the caller waits before it sends a body.

        Raises
        ------
        RequestError
            When a request is malformed or exceeds a limit.
        """
        self.has_completed = False
        was_in_body, before = self.in_body, len(self.body)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise RequestError(400, "protocol upgrades are not supported") from None
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, RequestError):
                raise cause from None
            raise RequestError(400, f"malformed request: {error}") from None
        # Of bytes that complete a request it is not known how many belong to the next.
        if self.in_message and not self.in_body and not self.has_completed:
            self.header_bytes += len(data)
            self.check_header_bytes()
            self.count_head()
        if self.in_body:
            self.check_body()
            # Of other bytes it is not known how many belong to a head.
            if was_in_body and not self.has_completed:
                self.framing.count(len(data), len(self.body) - before)
                self.check_framing()
        if self.expects_continue:
            self.expects_continue = False
            self.ready.append(ContinueExpected())

    def check_header_bytes(self) -> None:
        """Raise `RequestError` if the headers are too large."""
        if self.header_bytes > self.limits.header_bytes:
            raise self.make_size_error(431, "request head too large")

    def check_framing(self) -> None:
        """Raise `RequestError` if trailers or chunk extensions go on for too long."""
        if self.framing.is_exceeded(self.limits.header_bytes):
            raise self.make_size_error(431, "framing of the body too long")

    def count_head(self) -> None:
        """Count what came of a head; raise `RequestError` if there is no room."""
        cost = self.header_bytes + HEADER_OBJECT_BYTES * len(self.fields)
        self.resize_heads(cost - self.head_bytes)
        self.head_bytes = cost

    def resize_heads(self, change: int) -> None:
        """Count a change of what heads cost; raise `RequestError` without room."""
        total = self.head_total + change
        count = max(0, total - ORDINARY_HEAD_BYTES)
        growth = count - self.heads.count
        if growth > 0 and not self.held.has_room(growth):
            raise RequestError(503, "no room for the head", FULL_RETRY_SECONDS)
        self.head_total = total
        if growth:
            self.heads.resize(count)

    def make_size_error(self, status: int, reason: str) -> RequestError:
        """Return the error of a request beyond the limits.

        Without a configuration the status is 503: another box may accept the request.
        """
        return RequestError(status if self.limits.is_configured else 503, reason)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.reset()
        self.limits = self.read_limits()
        self.in_message = True
        self.in_body = False
        self.begun_at = time.monotonic()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers are dropped."""
        if not self.in_body:
            self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the headers and the announced body size."""
        size = len(self.target) + sum(
            len(name) + len(value) + MIN_HEADER_FRAMING_BYTES
            for name, value in self.fields
        )
        self.header_bytes = size
        self.check_header_bytes()
        self.count_head()
        self.framing.restart()
        self.in_body = True
        headers = Headers(tuple(self.fields))
        if len(headers.get_all(b"host")) != 1:
            raise RequestError(400, "exactly one Host header is needed")
        length = headers.get(b"content-length")
        if length is not None and int(length) > self.limits.body_bytes:
            raise self.make_size_error(413, "request body too large")
        if length is not None:
            self.reserve(int(length), int(length))
            self.reserved_bytes = int(length)
        expectation = headers.get_text(b"expect").lower()
        self.expects_continue = expectation == "100-continue"

    def check_body(self) -> None:
        """Count what came of the body; raise `RequestError` if it is too large."""
        size = self.body_bytes
        if size > self.limits.body_bytes:
            raise self.make_size_error(413, "request body too large")
        if size > self.counted_bytes:
            self.reserve(size - self.counted_bytes, size)

    @property
    def body_bytes(self) -> int:
        """How much of the body has come."""
        return len(self.body)

    @property
    def grows(self) -> bool:
        """Whether a body of unknown length is being read."""
        return self.in_body and not self.reserved_bytes

    @property
    def holds_large_body(self) -> bool:
        """Whether a body is being read for which much is counted."""
        return self.in_body and self.counted_bytes > SMALL_BODY_BYTES

    def drop_unfinished(self) -> None:
        """Forget a request that is not read to its end."""
        self.resize_heads(-self.head_bytes)
        self.head_bytes = 0
        self.fields = []
        self.body.clear()
        self.bodies.shrink(self.counted_bytes)
        self.counted_bytes = 0

    def release(self, request: CallerRequest) -> None:
        """Count a request that was answered as no longer held."""
        self.bodies.shrink(len(request.body))
        self.resize_heads(-request.head_bytes)

    def release_all(self) -> None:
        """Count nothing as held any more: the connection is closed."""
        self.bodies.release()
        self.heads.release()
        self.head_total = 0

    def reserve(self, count: int, size: int) -> None:
        """Count bytes of a body as held; raise `RequestError` if there is no room.

        A body of known length is counted whole before it is read: one that was begun is
        then read to its end.

        Parameters
        ----------
        size : int
            Size of the body with these bytes, as far as it is known.
        """
        if size > SMALL_BODY_BYTES and not self.held.has_room(count):
            raise RequestError(503, "no room for the body", FULL_RETRY_SECONDS, True)
        self.bodies.grow(count)
        self.counted_bytes += count

    def on_message_complete(self) -> None:
        """Append the request to `ready`, unless it asks for another protocol.

        The parser reads no body of such a request.
        """
        if self.parser.should_upgrade():
            return
        self.check_body()
        request = CallerRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=Headers(tuple(self.fields)),
            body=bytes(self.body),
            keep_alive=self.parser.should_keep_alive(),
            read_at=time.monotonic(),
            head_bytes=self.head_bytes,
        )
        self.reset()
        self.in_message = False
        self.in_body = False
        self.expects_continue = False
        self.has_completed = True
        self.ready.append(request)
