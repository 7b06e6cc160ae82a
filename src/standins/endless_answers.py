"""Bytes that are no answer, without end, in each part of an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from standins.raw_target import answer, chunk, stream_head

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from standins.raw_target import RawRequest

BLOCK: Final = b"x" * 16_384
# Far beyond what a box may hold of an answer, so that a fault ends a test and not the
# machine.
MAX_BYTES: Final = 400_000_000
STREAM_TYPE: Final = b"Content-Type: text/event-stream\r\n"
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n"


def send_without_end(connection: socket.socket, start: bytes, block: bytes) -> None:
    """Send a beginning, then the same block until the other side closes."""
    connection.sendall(start)
    blocks = block * max(1, len(BLOCK) // len(block))
    for _ in range(MAX_BYTES // len(blocks)):
        connection.sendall(blocks)


def build_head(request: RawRequest, more: bytes = b"", call_id: bytes = b"") -> bytes:
    """Return the head of an answer to a request, or to another one."""
    attempt = call_id or (request.header("Attempt-Id") or "").encode()
    return b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n%s" % (
        attempt,
        more,
    )


def send_header_value(request: RawRequest, connection: socket.socket) -> None:
    """Send one header value without end."""
    send_without_end(connection, build_head(request, b"X-Long: "), BLOCK)


def send_headers(request: RawRequest, connection: socket.socket) -> None:
    """Send headers without end."""
    send_without_end(connection, build_head(request), b"X-More: 1\r\n")


def send_interim(request: RawRequest, connection: socket.socket) -> None:
    """Send one interim answer after the other."""
    send_without_end(connection, b"", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")


def send_trailers(request: RawRequest, connection: socket.socket) -> None:
    """Send trailers without end after a whole body."""
    start = build_head(request, CHUNKED + b"\r\n") + chunk(b"done") + b"0\r\n"
    send_without_end(connection, start, b"X-More: 1\r\n")


def send_reason(request: RawRequest, connection: socket.socket) -> None:
    """Send a reason phrase without end."""
    send_without_end(connection, b"HTTP/1.1 200 ", BLOCK)


def send_extension(request: RawRequest, connection: socket.socket) -> None:
    """Send a chunk extension without end."""
    send_without_end(connection, build_head(request, CHUNKED + b"\r\n") + b"4;", BLOCK)


def send_chunks(request: RawRequest, connection: socket.socket) -> None:
    """Send a chunked body without end."""
    send_without_end(connection, build_head(request, CHUNKED + b"\r\n"), chunk(BLOCK))


def send_to_close(request: RawRequest, connection: socket.socket) -> None:
    """Send a body without length and without end."""
    send_without_end(connection, build_head(request, b"\r\n"), BLOCK)


def send_other_answer(request: RawRequest, connection: socket.socket) -> None:
    """Send the answer to another request, without end."""
    start = build_head(request, CHUNKED + b"\r\n", b"another")
    send_without_end(connection, start, chunk(BLOCK))


def send_refusal(request: RawRequest, connection: socket.socket) -> None:
    """Send a refusal whose body has no end."""
    head = build_head(request, CHUNKED + b"Not-Executed: 1\r\n\r\n")
    start = head.replace(b"200 OK", b"503 Full")
    send_without_end(connection, start, chunk(BLOCK))


def send_after_answer(request: RawRequest, connection: socket.socket) -> None:
    """Send bytes without end after a whole answer."""
    send_without_end(connection, answer(request), BLOCK)


def send_event(request: RawRequest, connection: socket.socket) -> None:
    """Send one event of a stream without end."""
    send_without_end(connection, stream_head(request) + chunk(b"data: "), chunk(BLOCK))


def send_comments(request: RawRequest, connection: socket.socket) -> None:
    """Send events of a stream without end that carry nothing."""
    send_without_end(connection, stream_head(request), chunk(b": nothing\n\n" * 99))


def send_data(request: RawRequest, connection: socket.socket) -> None:
    """Send events of a stream without end."""
    send_without_end(connection, stream_head(request), chunk(b"data: %s\n\n" % BLOCK))


PLAIN_SHAPES: Final[dict[str, Callable[[RawRequest, socket.socket], None]]] = {
    "header_value": send_header_value,
    "headers": send_headers,
    "interim": send_interim,
    "trailers": send_trailers,
    "reason": send_reason,
    "extension": send_extension,
    "chunks": send_chunks,
    "to_close": send_to_close,
    "other_answer": send_other_answer,
    "refusal": send_refusal,
    "after_answer": send_after_answer,
}
STREAM_SHAPES: Final[dict[str, Callable[[RawRequest, socket.socket], None]]] = {
    **{k: v for k, v in PLAIN_SHAPES.items() if k not in ("to_close", "after_answer")},
    "event": send_event,
    "comments": send_comments,
    "data": send_data,
}
