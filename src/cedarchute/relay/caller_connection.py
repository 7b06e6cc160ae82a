"""A caller connection: one task reads requests, another one responds."""

from __future__ import annotations

import contextlib
import logging
import socket
import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.queue import Empty, LightQueue

from cedarchute.relay.reply_writer import CONTINUE, ReplyWriter
from cedarchute.relay.request_error import RequestError
from cedarchute.relay.request_reader import RequestReader

if TYPE_CHECKING:
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.caller_server import CallerServer

log = logging.getLogger("cedarchute.relay")

READ_BYTES: Final = 65_536
# A caller that accepts no data for this long counts as disconnected.
WRITE_TIMEOUT_SECONDS: Final = 10.0
# After an error response, input is read for this long: closing a socket with unread
# data sends a reset, which can discard the response.
LINGER_SECONDS: Final = 0.5


class CallerConnection:
    """Responds to the requests of one connection in order.

    Reading continues while a request is handled, so that a disconnect is noticed at
    once and the handler is stopped.
    """

    def __init__(self, sock: socket.socket, server: CallerServer) -> None:
        self.sock = sock
        self.server = server
        self.reader = RequestReader(server.limits())
        # An error is queued behind the valid requests that were received before it.
        self.requests: LightQueue[CallerRequest | RequestError] = LightQueue()
        self.busy = False
        self.opened_at = time.monotonic()
        self.worker: eventlet.greenthread.GreenThread | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, queued or handled."""
        return not self.busy and not self.reader.in_message and self.requests.empty()

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
            self.server.record_bad_request(error)
            self.enqueue_ready()
            self.requests.put(error)
            self.discard_input()

    def read_requests(self) -> None:
        """Read requests until the caller closes the connection or is idle too long.

        Raises
        ------
        RequestError
            When a request is invalid or incomplete at its deadline.
        """
        header_deadline = None
        while True:
            limits = self.server.limits()
            if self.reader.in_message and not self.reader.in_body:
                header_deadline = header_deadline or (
                    time.monotonic() + limits.header_seconds
                )
                wait_seconds = header_deadline - time.monotonic()
            else:
                header_deadline = None
                wait_seconds = limits.idle_seconds
            try:
                data = self.receive(wait_seconds)
            except TimeoutError:
                if self.reader.in_message:
                    raise RequestError(408, "request not sent in time") from None
                if self.busy or not self.requests.empty():
                    continue
                return
            if not data:
                return
            self.reader.feed(data)
            if self.reader.expects_continue and self.reader.in_body:
                self.reader.expects_continue = False
                self.sock.sendall(CONTINUE)
            self.enqueue_ready()

    def enqueue_ready(self) -> None:
        """Queue the complete requests for the responding task."""
        while self.reader.ready:
            self.requests.put(self.reader.ready.popleft())

    def receive(self, seconds: float) -> bytes:
        """Return the next bytes; raise ``TimeoutError`` after `seconds`.

        A timeout on the socket would also apply to the writes of the other task.
        """
        with eventlet.Timeout(max(0.001, seconds), TimeoutError("read timed out")):
            return self.sock.recv(READ_BYTES)

    def answer_forever(self) -> None:
        """Handle requests one by one; an invalid request ends the connection."""
        while True:
            request = self.requests.get()
            if isinstance(request, RequestError):
                self.send_error(request)
                return
            self.busy = True
            try:
                keep_open = self.answer(request)
            except OSError:
                keep_open = False
            self.busy = False
            if not keep_open:
                self.shut_down()
                return

    def answer(self, request: CallerRequest) -> bool:
        """Handle one request; return whether the connection stays open."""
        writer = ReplyWriter(request, self.send, self.server.must_close)
        try:
            self.server.handle(request, writer)
        except OSError:
            raise
        except Exception:
            log.exception("Unhandled exception while responding to a request.")
            if not writer.started:
                writer.write_refusal(502, "fault of this box")
        return writer.finished and not writer.closes

    def send(self, data: bytes) -> None:
        """Write bytes; raise ``TimeoutError`` if the caller does not accept them."""
        rest = memoryview(data)
        while rest:
            error = TimeoutError("write timed out")
            with eventlet.Timeout(WRITE_TIMEOUT_SECONDS, error):
                rest = rest[self.sock.send(rest) :]

    def send_error(self, error: RequestError) -> None:
        """Send an error response and close the sending direction."""
        body = error.reason.encode() + b"\n"
        head = (
            b"HTTP/1.1 %d Refused\r\nContent-Type: text/plain\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n"
        )
        try:
            self.send(head % (error.status, len(body)) + body)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            log.debug("Caller disconnected before its error response was sent.")

    def discard_input(self) -> None:
        """Discard input until the queued requests are handled, then linger briefly.

        Returns early if the caller disconnects.
        """
        while not self.worker.dead:
            with contextlib.suppress(TimeoutError):
                if not self.receive(LINGER_SECONDS):
                    return
        deadline = time.monotonic() + LINGER_SECONDS
        while (remaining := deadline - time.monotonic()) > 0:
            if not self.receive(remaining):
                return

    def shut_down(self) -> None:
        """Shut down both directions; the reading task then ends."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            log.debug("Connection was already closed.")

    def close(self) -> None:
        """Close the socket and drop the queued requests."""
        self.sock.close()
        self.discard_requests()

    def discard_requests(self) -> None:
        """Drop the requests that were queued when the connection ended."""
        while True:
            try:
                self.requests.get_nowait()
            except Empty:
                return
