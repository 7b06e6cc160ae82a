"""A target that answers with scripted bytes, and keeps what it was sent."""

from __future__ import annotations

import socket
import struct
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES: Final = 65_536
LOOK_SECONDS: Final = 0.02
LAST_CHUNK: Final = b"0\r\n\r\n"
HEALTH_LINE: Final = b"GET /healthz "


@dataclass
class RawRequest:
    """One request as it came in, byte for byte."""

    head: bytes
    body: bytes
    closed: threading.Event = field(default_factory=threading.Event)
    read_at: float = field(default_factory=time.monotonic)

    @property
    def line(self) -> bytes:
        """The first line."""
        return self.head.split(b"\r\n")[0]

    def header(self, name: str) -> str | None:
        """Return a header's value, or None."""
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.strip().lower() == name.lower().encode():
                return value.strip().decode("latin-1")
        return None


def read_id(request: RawRequest) -> bytes:
    """Return the id that an answer has to carry."""
    return (request.header("Attempt-Id") or "").encode()


def answer(
    request: RawRequest,
    body: bytes = b"done",
    status: bytes = b"200 OK",
    extra: bytes = b"",
) -> bytes:
    """Return a whole answer that belongs to `request`."""
    attempt = read_id(request)
    return (
        b"HTTP/1.1 %s\r\nAttempt-Id: %s\r\nServer-Seal: seal-%s\r\n%s"
        b"Content-Length: %d\r\n\r\n%s"
        % (status, attempt, attempt, extra, len(body), body)
    )


def refusal(request: RawRequest) -> bytes:
    """Return the answer of a target that is full."""
    return answer(request, b"", b"503 Service Unavailable", b"Not-Executed: 1\r\n")


def health_answer(instance: str) -> bytes:
    """Return the answer of a target that is well."""
    return (
        b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
        % instance.encode()
    )


def stream_head(request: RawRequest) -> bytes:
    """Return the head of a stream of events."""
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        % read_id(request)
    )


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int, data: bytes) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %s\n\n" % (number, data)


def is_closed(connection: socket.socket) -> bool:
    """Return whether the other side has closed; never waits.

    What was readable may have been read by another thread meanwhile.
    """
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False


class RawTarget:
    """Calls `script(request, connection)` for each request; it writes what it likes.

    Attributes
    ----------
    requests : list of RawRequest
        What came in, without health checks.
    health_checks : int
        How many of those came in.
    """

    def __init__(self, script: Callable[[RawRequest, socket.socket], None]) -> None:
        self.script = script
        self.id = ""
        self.requests: list[RawRequest] = []
        self.health_checks = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept_forever, daemon=True).start()

    def close(self) -> None:
        """Take no more connections."""
        self.listener.close()

    def accept_forever(self) -> None:
        """Take connections, each in a thread of its own."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Read requests and let the script answer them."""
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    received = connection.recv(READ_BYTES)
                    if not received:
                        return
                    data += received
                head, _, data = data.partition(b"\r\n\r\n")
                request = RawRequest(head, b"")
                length = int(request.header("Content-Length") or 0)
                while len(data) < length:
                    received = connection.recv(READ_BYTES)
                    if not received:
                        return
                    data += received
                request.body, data = data[:length], data[length:]
                if request.line.startswith(HEALTH_LINE):
                    self.health_checks += 1
                    self.answer_health(connection)
                    continue
                self.requests.append(request)
                threading.Thread(
                    target=self.watch_close, args=(connection, request), daemon=True
                ).start()
                self.script(request, connection)
        except OSError:
            pass
        finally:
            connection.close()

    def answer_health(self, connection: socket.socket) -> None:
        """Answer a health check."""
        connection.sendall(health_answer(self.id))

    def watch_close(self, connection: socket.socket, request: RawRequest) -> None:
        """Notice that the other side closes while its request is worked on."""
        # A blocked read would keep the socket open beyond the script's own close.
        try:
            while True:
                if is_closed(connection):
                    break
                time.sleep(LOOK_SECONDS)
        except OSError:
            pass
        request.closed.set()


def reset(connection: socket.socket) -> None:
    """Close a connection so that the other side sees a reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
