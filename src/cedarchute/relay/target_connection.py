"""A connection to a target that carries one request at a time."""

from __future__ import annotations

import logging
import socket
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.cooperative_turn import CooperativeTurn
from cedarchute.relay.answer_limits import DEFAULT_LIMITS, AnswerLimits
from cedarchute.relay.answer_reader import AnswerReader
from cedarchute.relay.answer_too_long import AnswerPart, AnswerTooLongError
from cedarchute.relay.carried_requests import CarriedRequests
from cedarchute.relay.malformed_answer_error import MalformedAnswerError
from cedarchute.relay.socket_io import receive_within
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.address import Address
    from cedarchute.relay.target_answer import TargetAnswer

log = logging.getLogger("cedarchute.relay")

# Idle connections are given up this long before the target's keep-alive timeout, so
# that a request does not race with the target's close; covers network delay and timers
# of low resolution.
KEEP_ALIVE_MARGIN_SECONDS: Final = 0.5
# Keep-alive timeout of a target that sends none.
DEFAULT_KEEP_ALIVE_SECONDS: Final = 4.0
# Lowest status that reports a failure.
MIN_FAILURE: Final = 400
# Reason of a failure by which a connection can still be used: nothing has come yet.
SILENT: Final = "silent"
# A body of this size is sent apart from its head.
LARGE_BODY_BYTES: Final = 65_536
# What is read after a deadline: bytes that came before it, while the process stood
# still.
MAX_OVERDUE_BYTES: Final = 1_048_576


class TargetConnection:
    """An open connection; failures raise `TargetFailureError` with a verdict.

    Attributes
    ----------
    is_closed : bool
        Whether this side has closed it.
    carried : CarriedRequests
        The requests that it carried, to which surplus answers may still come.
    discarded : int
        How many answers to other requests, or to none, were read and dropped.
    failure : TargetFailureError or None
        Why nothing more can be read: malformed bytes follow what was read.
    """

    def __init__(
        self,
        address: Address,
        sock: socket.socket,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> None:
        self.address = address
        self.sock = sock
        self.limits = limits
        self.reader = AnswerReader(limits)
        self.turn = CooperativeTurn()
        self.overdue_bytes = 0
        self.idle_since = time.monotonic()
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self.reusable = True
        self.is_closed = False
        self.carried = CarriedRequests()
        self.discarded = 0
        self.failure: TargetFailureError | None = None
        self.sender: eventlet.greenthread.GreenThread | None = None
        self.send_failed = False

    @classmethod
    def open(
        cls,
        address: Address,
        seconds: float,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> TargetConnection:
        """Connect to `address` within `seconds`."""
        try:
            with eventlet.Timeout(seconds, TimeoutError("no connection in time")):
                sock = socket.create_connection((address.host, address.port))
        except OSError as error:
            raise TargetFailureError(f"connect: {error}", Verdict.NOT_RUN) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(address, sock, limits)

    @property
    def is_available(self) -> bool:
        """Whether the connection can be reused for another request.

        An idle connection that is readable has received unsolicited bytes or a close
        and cannot be reused.
        """
        if not self.reusable or self.reader.answers or self.reader.current:
            return False
        idle_seconds = time.monotonic() - self.idle_since
        if idle_seconds > self.keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS:
            return False
        return not self.is_readable()

    @property
    def is_sending(self) -> bool:
        """Whether a part of the request is not sent, or failed to be."""
        return self.send_failed or (self.sender is not None and not self.sender.dead)

    def is_readable(self) -> bool:
        """Return whether bytes, a close or an error are pending on the socket."""
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(self, data: bytes, seconds: float, large_body: bytes = b"") -> None:
        """Send a request within `seconds`; after a failure it may have run.

        The rest of a long one is sent while its response is read: a target may respond
        before it has read all.

        Parameters
        ----------
        large_body : bytes
            Sent behind `data`, without a copy of both together.
        """
        parts = [data, large_body] if large_body else [data]
        while parts:
            sent = self.send_some(parts[0])
            if sent < len(parts[0]):
                rest = [memoryview(parts[0])[sent:], *parts[1:]]
                self.sender = eventlet.spawn(self.send_rest, rest, seconds)
                return
            del parts[0]

    def send_some(self, data: bytes) -> int:
        """Send what the other side takes at once; return how much that is."""
        try:
            return self.sock.fd.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise TargetFailureError(f"send: {error}", Verdict.MAY_HAVE_RUN) from None

    def send_rest(self, rest: list[memoryview | bytes], seconds: float) -> None:
        """Send the rest of a request; who reads its response notices a failure."""
        try:
            with eventlet.Timeout(seconds, TimeoutError("request not taken in time")):
                for part in rest:
                    self.sock.sendall(part)
        except OSError as error:
            self.send_failed = True
            log.info("Request not sent whole.", extra={"why": str(error)})

    def receive(self, seconds: float) -> None:
        """Pass the next bytes from the socket to the reader.

        Raises
        ------
        TargetFailureError
            On a timeout, a reset, a premature close, a malformed response or one that
            exceeds a limit.
        """
        if self.failure is not None:
            raise self.failure
        try:
            data = receive_within(self.sock, max(0.0, seconds), SILENT)
        except OSError as error:
            raise TargetFailureError(f"{error}", Verdict.MAY_HAVE_RUN) from None
        if not data:
            self.reusable = False
            # After a write that failed a reset reads as an orderly close.
            if not self.send_failed and self.reader.feed_eof() and self.reader.answers:
                return
            raise TargetFailureError("closed early", Verdict.MAY_HAVE_RUN)
        self.pass_turn(len(data), seconds)
        try:
            self.reader.feed(data)
        except AnswerTooLongError:
            self.reusable = False
            raise
        except MalformedAnswerError as error:
            self.reusable = False
            reason = f"garbled: {error}"
            self.failure = TargetFailureError(reason, Verdict.MAY_HAVE_RUN)
            if self.reader.answers and self.reader.answers[0].is_complete:
                return  # The malformed bytes follow a complete response.
            raise self.failure from None

    def pass_turn(self, count: int, seconds: float) -> None:
        """Give other tasks a turn after many bytes; raise well after the deadline."""
        if seconds <= 0:
            self.overdue_bytes += count
            if self.overdue_bytes > MAX_OVERDUE_BYTES:
                self.reusable = False
                reason = "still sending after its time"
                raise TargetFailureError(reason, Verdict.MAY_HAVE_RUN)
        self.turn.spend(count)

    def drop_rest(self, answer: TargetAnswer, deadline: float) -> None:
        """Read a response to its end, and keep nothing of its body.

        Raises
        ------
        AnswerTooLongError
            When its body goes on for too long.
        """
        dropped = len(answer.take_parts())
        while not answer.is_complete:
            if dropped > self.limits.held_bytes:
                self.reusable = False
                raise AnswerTooLongError(AnswerPart.DROPPED, self.limits.held_bytes)
            self.receive(deadline - time.monotonic())
            dropped += len(answer.take_parts())

    def read_answer(
        self,
        request_id: bytes,
        header_name: bytes,
        deadline: float,
        expects_body: bool = True,
    ) -> TargetAnswer:
        """Return the response to `request_id` once its headers are complete.

        Responses that belong to other requests or to none are read to their end and
        discarded, and the connection is not reused.

        Parameters
        ----------
        request_id : bytes
            Id of the request that was just sent; empty if it has none.
        header_name : bytes
            The header in which the target echoes the request id, in lower case.
        deadline : float
            Monotonic time at which `TargetFailureError` is raised.
        expects_body : bool
            Whether the response may have a body; a response to HEAD has none.
        """
        self.reader.expects_body = expects_body
        self.carried.add(request_id)
        while True:
            answer = self.wait_for_headers(deadline)
            echoed = answer.headers.get(header_name)
            if belongs_to(answer, echoed, request_id, self.carried.count):
                if echoed is None or self.carried.is_full:
                    self.reusable = False
                return answer
            self.note_discarded(answer, echoed, request_id)
            self.drop_rest(answer, deadline)
            self.reader.answers.popleft()

    def note_discarded(
        self, answer: TargetAnswer, echoed: bytes | None, request_id: bytes
    ) -> None:
        """Count an answer that does not belong to the request, and log its id."""
        self.reusable = False
        self.discarded += 1
        log.info(
            "Answer discarded.",
            extra={
                "address": str(self.address),
                "status": answer.status,
                "answers": None if echoed is None else echoed.decode("latin-1"),
                "awaited": request_id.decode("latin-1"),
                "requests": self.carried.count,
            },
        )

    def wait_for_headers(self, deadline: float) -> TargetAnswer:
        """Return the first unread response once its headers are complete."""
        while not self.reader.answers or not self.reader.answers[0].headers_complete:
            self.receive(deadline - time.monotonic())
        return self.reader.answers[0]

    def finish(self, answer: TargetAnswer) -> None:
        """Remove a response that was read completely; the connection is now idle."""
        self.reader.answers.popleft()
        self.idle_since = time.monotonic()
        if not answer.keep_alive or self.reader.answers or self.is_sending:
            self.reusable = False
        timeout = _parse_keep_alive_timeout(answer.headers.get_text(b"keep-alive"))
        if timeout is not None:
            self.keep_alive_seconds = timeout

    def close(self) -> None:
        """Close at once; this cancels a request that the target is processing."""
        self.reusable = False
        self.is_closed = True
        if self.sender is not None:
            self.sender.kill()
        self.sock.close()


def belongs_to(
    answer: TargetAnswer, echoed: bytes | None, request_id: bytes, requests: int
) -> bool:
    """Return whether a response answers the last request of a connection.

    What stands before a target may refuse a request without its id. That can be told
    from a surplus answer only where no earlier request could have caused one.

    Parameters
    ----------
    echoed : bytes or None
        The id in the response.
    request_id : bytes
        Id of the request; empty if it has none.
    requests : int
        How many requests the connection has carried.
    """
    if echoed is not None:
        return echoed == request_id
    if requests > 1:
        return False
    return not request_id or answer.status >= MIN_FAILURE


def _parse_keep_alive_timeout(text: str) -> float | None:
    """Return the timeout in seconds of a ``Keep-Alive`` header, if any."""
    for parameter in text.split(","):
        key, _, value = parameter.strip().partition("=")
        if key.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


def send_request(
    connection: TargetConnection, head: bytes, body: bytes, seconds: float
) -> None:
    """Send a request within `seconds`; a large body is not copied behind its head."""
    if len(body) < LARGE_BODY_BYTES:
        connection.send(head + body, seconds)
    else:
        connection.send(head, seconds, body)
