"""One connection of a caller: a task that reads, and one that answers."""

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
# A caller that takes nothing for this long is gone.
WRITE_SECONDS: Final = 10.0
# After a refusal of bad input, unread bytes would turn the close into a reset that
# overtakes the answer: read them for a moment.
LINGER_SECONDS: Final = 0.5


class CallerConnection:
    """Answers the requests of one connection in their order.

    The reader goes on while an answer is made, so that a caller who leaves is
    noticed at once and what runs for it is stopped.
    """

    def __init__(self, sock: socket.socket, server: CallerServer) -> None:
        self.sock = sock
        self.server = server
        self.reader = RequestReader(server.limits())
        # Requests in their order; bad input stands behind those that came before it.
        self.requests: LightQueue[CallerRequest | RequestError] = LightQueue()
        self.busy = False
        self.opened_at = time.monotonic()
        self.worker: eventlet.greenthread.GreenThread | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing of a request has been read that is not answered."""
        return not self.busy and not self.reader.in_message and self.requests.empty()

    def run(self) -> None:
        """Serve the connection until either side closes it."""
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.worker = eventlet.spawn(self.answer_forever)
        try:
            self.read_to_end()
        except OSError:
            pass  # The caller is gone: nothing is owed to it any more.
        finally:
            self.worker.kill()
            self.close()

    def read_to_end(self) -> None:
        """Read until the caller closes, or sends what is no request."""
        try:
            self.read_forever()
        except RequestError as error:
            self.server.count_refusal(error)
            self.queue_ready()
            self.requests.put(error)
            self.discard_input()

    def read_forever(self) -> None:
        """Read requests until the caller closes or stays silent too long."""
        header_deadline = None
        while True:
            limits = self.server.limits()
            if self.reader.in_message and not self.reader.in_body:
                header_deadline = header_deadline or (
                    time.monotonic() + limits.header_seconds
                )
                wait = header_deadline - time.monotonic()
            else:
                header_deadline = None
                wait = limits.idle_seconds
            try:
                data = self.receive(wait)
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
            self.queue_ready()

    def queue_ready(self) -> None:
        """Hand the requests that were read whole to the answering task."""
        while self.reader.ready:
            self.requests.put(self.reader.ready.popleft())

    def receive(self, seconds: float) -> bytes:
        """Read what has come; raise ``TimeoutError`` after `seconds`.

        A timeout of the socket itself would bound the writes of the other task too.
        """
        with eventlet.Timeout(max(0.001, seconds), TimeoutError("caller is silent")):
            return self.sock.recv(READ_BYTES)

    def answer_forever(self) -> None:
        """Answer one request after the other; bad input ends the connection."""
        while True:
            request = self.requests.get()
            if isinstance(request, RequestError):
                self.refuse(request)
                return
            self.busy = True
            try:
                keep = self.answer(request)
            except OSError:
                keep = False
            self.busy = False
            if not keep:
                self.shut()
                return

    def answer(self, request: CallerRequest) -> bool:
        """Answer one request; return whether the connection goes on."""
        writer = ReplyWriter(request, self.send, self.server.must_close)
        self.server.handle(request, writer)
        return writer.finished and not writer.closes

    def send(self, data: bytes) -> None:
        """Write bytes to the caller."""
        with eventlet.Timeout(WRITE_SECONDS, TimeoutError("caller takes nothing")):
            self.sock.sendall(data)

    def refuse(self, error: RequestError) -> None:
        """Answer bad input, and say that nothing more is sent."""
        body = error.reason.encode() + b"\n"
        head = (
            b"HTTP/1.1 %d Refused\r\nContent-Type: text/plain\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n"
        )
        try:
            self.send(head % (error.status, len(body)) + body)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            log.debug("A refused caller left before its answer.")

    def discard_input(self) -> None:
        """Read what the caller still sends until all is answered, and a moment more.

        A caller who leaves meanwhile is noticed as ever.
        """
        while not self.worker.dead:
            with contextlib.suppress(TimeoutError):
                if not self.receive(LINGER_SECONDS):
                    return
        deadline = time.monotonic() + LINGER_SECONDS
        while (left := deadline - time.monotonic()) > 0:
            if not self.receive(left):
                return

    def shut(self) -> None:
        """End the connection in both directions; the reading task notices."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            log.debug("A connection was closed already.")

    def close(self) -> None:
        """Release the socket."""
        self.sock.close()
        self.discard_queue()

    def discard_queue(self) -> None:
        """Drop requests that were read behind one that ended the connection."""
        while True:
            try:
                self.requests.get_nowait()
            except Empty:
                return
