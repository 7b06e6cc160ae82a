"""A caller connection: one task reads requests, another one responds."""

from __future__ import annotations

import contextlib
import logging
import socket
import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.queue import LightQueue

from cedarchute.cooperative_turn import CooperativeTurn
from cedarchute.pressure.body_pace import BodyPace
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.continue_expected import ContinueExpected
from cedarchute.relay.discarded_input import discard_input
from cedarchute.relay.input_throttle import wait_for_room
from cedarchute.relay.reply_writer import CONTINUE, ReplyWriter
from cedarchute.relay.request_error import RequestError
from cedarchute.relay.request_reader import RequestReader
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.relay.socket_io import (
    READ_BYTES,
    receive_within,
    send_while_patient,
    send_within,
)
from cedarchute.relay.unread_input import has_unread_input

if TYPE_CHECKING:
    from cedarchute.pressure.held_bytes import HeldBytes
    from cedarchute.relay.caller_server import CallerServer

log = logging.getLogger("cedarchute.relay")

# A caller that accepts no data for this long counts as disconnected.
WRITE_TIMEOUT_SECONDS: Final = 10.0
# The same near the bound on held bytes; a pause of a caller's process is shorter.
SHORT_WRITE_TIMEOUT_SECONDS: Final = 3.0
# Interval between looks at how fast a body comes, if the held bytes have a bound.
PACE_CHECK_SECONDS: Final = 0.5
# Requests that wait behind another one are read up to this number and size, which is
# more than callers send ahead of their answers.
MAX_QUEUED_REQUESTS: Final = 16
MAX_QUEUED_BYTES: Final = 65_536
QUEUED_READ_BYTES: Final = 4096
# After the last response, input is read for this long: closing a socket with unread
# data sends a reset, which can discard the response.
LINGER_SECONDS: Final = 0.5
# A caller sends its first request right after it connects, so a connection this young
# is about to carry one.
FIRST_REQUEST_SECONDS: Final = 0.3


class CallerConnection:
    """Responds to the requests of one connection in order.

    Reading continues while a request is handled, so that a disconnect is noticed at
    once and the handler is stopped.

    Attributes
    ----------
    has_announced_close : bool
        Whether a response has said that the connection closes. Requests behind it are
        refused, and the connection closes once none is left.
    queued_bytes : int
        What the requests cost that wait behind the one that is handled.
    is_lingering : bool
        Whether the last response was written and its caller may still be reading it.
    """

    def __init__(
        self, sock: socket.socket, server: CallerServer, held: HeldBytes = UNBOUNDED
    ) -> None:
        self.sock = sock
        self.server = server
        self.held = held
        self.reader = RequestReader(server.limits, held)
        self.pace = BodyPace(held)
        self.turn = CooperativeTurn()
        # Errors and marks are queued behind the requests that were received before.
        self.requests = LightQueue()
        self.queued_bytes = 0
        self.busy = False
        self.is_shut_down = False
        self.is_lingering = False
        self.has_announced_close = False
        self.answered = 0
        self.opened_at = self.active_at = time.monotonic()
        self.worker: eventlet.greenthread.GreenThread | None = None
        self.writer: ReplyWriter | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, queued or handled."""
        return not self.busy and not self.reader.in_message and self.requests.empty()

    @property
    def can_close(self) -> bool:
        """Whether a close now loses no request and no response."""
        if self.is_shut_down:
            return not self.is_lingering
        if not self.is_idle or self.awaits_first_request:
            return False
        return not has_unread_input(self.sock)

    @property
    def awaits_first_request(self) -> bool:
        """Whether the connection is new and its first request is probably under way."""
        if self.reader.begun_at:
            return False
        return time.monotonic() - self.opened_at < FIRST_REQUEST_SECONDS

    @property
    def can_make_room(self) -> bool:
        """Whether no request on it was read whole and is not answered."""
        if self.busy or not self.requests.empty() or self.is_shut_down:
            return False
        return not has_unread_input(self.sock)

    def close_for_room(self) -> None:
        """Close a quiet connection, so that another one can be accepted."""
        self.shut_down()

    def run(self) -> None:
        """Serve the connection until either side closes it."""
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.worker = eventlet.spawn(self.answer_forever)
        try:
            self.read_until_close()
        except OSError:
            pass  # The caller has disconnected.
        finally:
            self.worker.kill()
            self.close()

    def read_until_close(self) -> None:
        """Read until the caller closes the connection or sends an invalid request."""
        try:
            self.read_requests()
        except RequestError as error:
            self.reader.drop_unfinished()
            self.server.record_bad_request(error)
            self.enqueue_ready()
            self.requests.put(error)
            discard_input(self, LINGER_SECONDS, error.body_follows)

    def read_requests(self) -> None:
        """Read requests until the caller closes the connection or is idle too long.

        Raises
        ------
        RequestError
            When a request is invalid or incomplete at its deadline.
        """
        while True:
            if wait_for_room(self):
                self.pace.restart()
            try:
                data = self.receive_paced(self.compute_wait())
            except TimeoutError:
                if self.is_shut_down:
                    return
                if self.reader.in_message:
                    raise RequestError(408, "request not sent in time") from None
                if self.compute_wait() > 0:
                    continue
                self.server.record_close(self, "idle")
                return
            if not data:
                return
            if self.is_shut_down:
                continue
            self.active_at = time.monotonic()
            self.reader.feed(data)
            self.enqueue_ready()

    def compute_wait(self) -> float:
        """Return for how long no input may come, from now on."""
        limits = self.server.limits()
        if self.reader.in_message and not self.reader.in_body:
            return self.reader.begun_at + limits.header_seconds - time.monotonic()
        if not self.is_idle:
            return limits.idle_seconds
        return self.active_at + limits.idle_seconds - time.monotonic()

    def enqueue_ready(self) -> None:
        """Queue what was received for the responding task."""
        while self.reader.ready:
            request = self.reader.ready.popleft()
            if isinstance(request, CallerRequest):
                self.queued_bytes += request.held_bytes
            self.requests.put(request)

    @property
    def is_queue_full(self) -> bool:
        """Whether no more requests should be read before some are handled."""
        if self.requests.qsize() >= MAX_QUEUED_REQUESTS:
            return True
        return self.queued_bytes >= MAX_QUEUED_BYTES

    @property
    def read_size(self) -> int:
        """How much to read at once; little of what has to wait anyway."""
        must_wait = self.busy or not self.requests.empty()
        if must_wait and not self.reader.in_body:
            return QUEUED_READ_BYTES
        return READ_BYTES

    def receive(self, seconds: float) -> bytes:
        """Return the next bytes; raise ``TimeoutError`` after `seconds`.

        A timeout on the socket would also apply to the writes of the other task.
        """
        data = receive_within(
            self.sock, max(0.001, seconds), "read timed out", self.read_size
        )
        self.turn.spend(len(data))
        return data

    def receive_paced(self, seconds: float) -> bytes:
        """Return the next bytes, like `receive`.

        Raises
        ------
        RequestError
            When a body comes too slowly for a box that holds nearly as much as it may.
        """
        if self.held is UNBOUNDED:
            return self.receive(seconds)
        deadline = time.monotonic() + seconds
        while True:
            self.check_pace()
            rest = deadline - time.monotonic()
            if not self.reader.holds_large_body or rest <= PACE_CHECK_SECONDS:
                return self.receive(rest)
            with contextlib.suppress(TimeoutError):
                return self.receive(PACE_CHECK_SECONDS)

    def check_pace(self) -> None:
        """Raise `RequestError` if a body comes too slowly.

        Behind a queued request its caller may wait to be told to send it.
        """
        if not self.reader.holds_large_body or not self.requests.empty():
            self.pace.restart()
        elif self.pace.is_too_slow(self.reader.body_bytes, time.monotonic()):
            raise RequestError(408, "body sent too slowly", body_follows=True)

    def answer_forever(self) -> None:
        """Handle requests one by one; an invalid request ends the connection."""
        while True:
            request = self.requests.get()
            if isinstance(request, RequestError):
                self.send_error(request)
                return
            if isinstance(request, ContinueExpected):
                self.send_continue()
                continue
            self.busy = True
            self.queued_bytes -= request.held_bytes
            try:
                keep_open = self.answer(request)
            except (OSError, ShutdownError):
                keep_open = False
            finally:
                self.reader.release(request)
            self.busy = False
            self.active_at = time.monotonic()
            self.answered += 1
            self.has_announced_close |= self.writer.closes
            if not keep_open and not self.must_refuse_more():
                self.end(linger=self.writer.finished)
                return

    def answer(self, request: CallerRequest) -> bool:
        """Handle one request; return whether the connection stays open."""
        follows_close = self.has_announced_close
        writer = ReplyWriter(
            request, self.send, self.must_close, follows_close, self.held
        )
        self.writer = writer
        try:
            self.server.handle(request, writer)
        except (OSError, ShutdownError):
            raise
        except Exception:
            log.exception("Unhandled exception in the handler of a request.")
            if not writer.started:
                writer.write_refusal(502, "fault of this box")
        return writer.finished and not writer.closes

    def must_close(self) -> bool:
        """Return whether the response being written is the last one."""
        if self.has_announced_close:
            return True
        return self.server.must_close() and not self.has_further_request

    @property
    def has_further_request(self) -> bool:
        """Whether the caller has sent a part of a request that is not handled yet."""
        if not self.requests.empty() or self.reader.in_message:
            return True
        return has_unread_input(self.sock)

    def must_refuse_more(self) -> bool:
        """Return whether a request follows the response that closes the connection."""
        if not self.writer.finished or not self.writer.request.keep_alive:
            return False
        while self.requests.empty() and not self.reader.in_message:
            if not has_unread_input(self.sock):
                return False
            eventlet.sleep(0)  # The reading task takes it.
        return True

    def interrupt(self, include_started: bool) -> bool:
        """End the request in progress; return whether there was one.

        Raises `ShutdownError` in its handler. A response that has begun goes on unless
        `include_started` is set.
        """
        if self.busy:
            if self.writer.started and not include_started:
                return False
            eventlet.kill(self.worker, ShutdownError())
            return True
        if self.reader.in_message and not self.is_shut_down:
            self.requests.put(RequestError(503, "box is stopping"))
            return True
        return False

    def send(self, data: bytes) -> None:
        """Write bytes; raise ``TimeoutError`` if the caller does not accept them."""
        try:
            if self.held is UNBOUNDED:
                send_within(self.sock, data, WRITE_TIMEOUT_SECONDS)
            else:
                send_while_patient(self.sock, data, self.read_patience)
        except TimeoutError:
            if self.held.is_near_bound:
                self.server.record_slow_caller(self)
            raise

    def read_patience(self) -> float:
        """Return for how long the caller may accept no data."""
        if self.held.is_near_bound:
            return SHORT_WRITE_TIMEOUT_SECONDS
        return WRITE_TIMEOUT_SECONDS

    def send_continue(self) -> None:
        """Tell the caller to send the body that it holds back."""
        if not self.reader.in_body:
            return
        try:
            self.send(CONTINUE)
        except OSError:
            self.shut_down()

    def send_error(self, error: RequestError) -> None:
        """Send an error response and close the sending direction."""
        try:
            self.send(error.build_response())
        except OSError:
            log.debug("Caller disconnected before its error response was sent.")
        self.is_lingering = True
        self.shut_down(socket.SHUT_WR)

    def close_for_stop(self) -> None:
        """Close an idle connection because the process ends."""
        if self.is_shut_down:
            return
        self.server.record_close(self, "stop")
        self.shut_down()

    def end(self, linger: bool) -> None:
        """Close after the last response; its caller may still be receiving it."""
        if linger:
            self.is_lingering = True
            self.shut_down(socket.SHUT_WR)
            eventlet.sleep(LINGER_SECONDS)
            self.is_lingering = False
        self.shut_down()

    def shut_down(self, how: int = socket.SHUT_RDWR) -> None:
        """Shut down the connection; the reading task ends with its direction."""
        self.is_shut_down = True
        try:
            self.sock.shutdown(how)
        except OSError:
            log.debug("Connection was already closed.")

    def close(self) -> None:
        """Close the socket and drop the queued requests."""
        self.sock.close()
        self.reader.release_all()
        while not self.requests.empty():
            self.requests.get_nowait()
