"""One connection to a target; one request on it at a time."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Final

import eventlet
import httptools
from eventlet.hubs import trampoline

from cedarchute.relay.answer_reader import AnswerReader
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.address import Address
    from cedarchute.relay.target_answer import TargetAnswer

READ_BYTES: Final = 65_536
# A target's own close of an idle connection crosses a request sent in the last
# part of the time it named; the margin covers a slow link and its coarse clock.
KEEP_MARGIN_SECONDS: Final = 0.5
# When a target does not say how long it keeps an idle connection.
KEEP_DEFAULT_SECONDS: Final = 4.0


class TargetConnection:
    """An open connection; raises `TargetFailureError` with a verdict."""

    def __init__(self, address: Address, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.reader = AnswerReader()
        self.idle_since = time.monotonic()
        self.keep_seconds = KEEP_DEFAULT_SECONDS
        self.reusable = True

    @classmethod
    def open(cls, address: Address, seconds: float) -> TargetConnection:
        """Connect within `seconds`."""
        try:
            with eventlet.Timeout(seconds, TimeoutError("no connection in time")):
                sock = socket.create_connection((address.host, address.port))
        except OSError as error:
            raise TargetFailureError(f"connect: {error}", Verdict.NOT_RUN) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(address, sock)

    @property
    def is_fresh(self) -> bool:
        """Whether the connection can carry another request.

        Bytes that came while it was idle belong to no request, and a close that
        came means the target is done with it: both show as readable.
        """
        if not self.reusable or self.reader.answers or self.reader.open:
            return False
        idle = time.monotonic() - self.idle_since
        if idle > self.keep_seconds - KEEP_MARGIN_SECONDS:
            return False
        return not self.is_readable()

    def is_readable(self) -> bool:
        """Whether bytes, a close or an error wait to be read."""
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(self, data: bytes, seconds: float) -> None:
        """Write a whole request; what was cut short may have run."""
        try:
            with eventlet.Timeout(seconds, TimeoutError("request not taken in time")):
                self.sock.sendall(data)
        except OSError as error:
            raise TargetFailureError(f"send: {error}", Verdict.MAY_HAVE_RUN) from None

    def receive(self, seconds: float) -> None:
        """Read what comes next into the reader.

        Raises
        ------
        TargetFailureError
            On silence, on a reset, on an early close and on bytes that are no
            answer.
        """
        try:
            with eventlet.Timeout(max(0.0, seconds), TimeoutError("silent")):
                data = read_socket(self.sock)
        except OSError as error:
            raise TargetFailureError(f"{error}", Verdict.MAY_HAVE_RUN) from None
        if not data:
            self.reusable = False
            if self.reader.feed_end() and self.reader.answers:
                return
            raise TargetFailureError("closed early", Verdict.MAY_HAVE_RUN)
        try:
            self.reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            if self.reader.answers and self.reader.answers[0].is_complete:
                return  # The answer is whole; what spoils the connection is behind it.
            reason = f"garbled: {error}"
            raise TargetFailureError(reason, Verdict.MAY_HAVE_RUN) from None

    def read_answer(self, request_id: bytes, name: bytes, until: float) -> TargetAnswer:
        """Return the answer whose head carries `request_id` under `name`.

        An answer with another id is the late one of an earlier request: it is
        read to its end and dropped, and the connection is not used again.
        """
        while True:
            answer = self.wait_head(until)
            echoed = answer.headers.get(name)
            if not answer.is_interim and echoed in (None, request_id):
                return answer
            if not answer.is_interim:
                self.reusable = False
            while not answer.is_complete:
                self.receive(until - time.monotonic())
            self.reader.answers.popleft()

    def wait_head(self, until: float) -> TargetAnswer:
        """Return the first answer that is not taken yet, once its head is whole."""
        while not self.reader.answers or not self.reader.answers[0].has_head:
            self.receive(until - time.monotonic())
        return self.reader.answers[0]

    def finish(self, answer: TargetAnswer) -> None:
        """Mark an answer that was read whole; the connection may be idle now."""
        self.reader.answers.popleft()
        self.idle_since = time.monotonic()
        if not answer.keep_alive or self.reader.answers:
            self.reusable = False
        timeout = _read_keep_alive(answer.headers.get_text(b"keep-alive"))
        if timeout is not None:
            self.keep_seconds = timeout

    def close(self) -> None:
        """Close at once; a target that still works on the request drops it."""
        self.reusable = False
        self.sock.close()


def read_socket(sock: socket.socket) -> bytes:
    """Return what comes next; a reset raises.

    The green socket's own ``recv`` tells a reset as an orderly close, and an answer
    that was cut would look whole.
    """
    raw = sock.fd
    while True:
        try:
            return raw.recv(READ_BYTES)
        except BlockingIOError:
            trampoline(raw, read=True)


def _read_keep_alive(text: str) -> float | None:
    """Return the seconds that a ``Keep-Alive`` header names, if any."""
    for word in text.split(","):
        key, _, value = word.strip().partition("=")
        if key.lower() == "timeout" and value.isdigit():
            return float(value)
    return None
