"""An HTTP response that is bounded in bytes and in time."""

from __future__ import annotations

from http.client import HTTPException, HTTPMessage, IncompleteRead, RemoteDisconnected
from typing import TYPE_CHECKING, Any, Final

from cedarchute.answer_bound import MAX_READ_TIMES
from cedarchute.bounded_reader import BoundedReader
from cedarchute.relay.answer_reader import AnswerReader
from cedarchute.relay.answer_too_long import AnswerTooLongError
from cedarchute.relay.malformed_answer_error import MalformedAnswerError

if TYPE_CHECKING:
    import socket

    from cedarchute.answer_bound import AnswerBound
    from cedarchute.relay.target_answer import TargetAnswer

READ_BYTES: Final = 65_536
# As `http.client` numbers it; the parser tells apart what depends on the version.
HTTP_1_1: Final = 11


class UnreadableAnswerError(HTTPException):
    """Bytes that are no answer, in a form that urllib3 reports as a failed exchange."""

    code = "unreadable_answer"


class BoundedResponse:
    """An answer that is read through a `BoundedReader`.

    Stands in the place of `http.client.HTTPResponse`, which drops the rest of a head
    after a malformed line without an error.

    Parameters
    ----------
    bound : AnswerBound
        What may be read.
    method : str or None
        That of the request; an answer to HEAD has no body.

    Attributes
    ----------
    msg : HTTPMessage
        The headers, by the name that urllib3 reads them under.
    will_close : bool
        Whether the connection carries no further request.
    failure : UnreadableAnswerError or None
        Why nothing more can be read: malformed bytes follow what was read.
    """

    def __init__(
        self,
        bound: AnswerBound,
        sock: socket.socket,
        method: str | None = None,
        **_: Any,
    ) -> None:
        self.sock = sock
        self.bound = bound
        seconds = sock.gettimeout()
        self.reader = BoundedReader(
            sock.makefile("rb", buffering=0),
            bound.max_bytes,
            float("inf") if seconds is None else MAX_READ_TIMES * seconds,
        )
        self.parser = AnswerReader()
        self.parser.expects_body = method != "HEAD"
        self.answer: TargetAnswer | None = None
        self.failure: UnreadableAnswerError | None = None
        self.rest = b""
        self.msg = HTTPMessage()
        self.status = 0
        self.reason = ""
        self.version = HTTP_1_1
        self.will_close = True
        self.closed = False

    def begin(self) -> None:
        """Read the head of the answer.

        Raises
        ------
        HTTPException
            When the bytes are no answer.
        OSError
            When the connection fails or a bound is exceeded.
        """
        answers = self.parser.answers
        while not answers or not answers[0].headers_complete:
            self.receive()
        answer = self.answer = answers[0]
        self.status = answer.status
        self.will_close = not answer.keep_alive or answer.is_close_delimited
        for name, value in answer.headers.fields:
            self.msg.set_raw(name.decode("latin-1"), value.decode("latin-1"))

    def receive(self) -> None:
        """Pass the next bytes from the socket to the parser."""
        if self.failure is not None:
            raise self.failure
        data = self.reader.read(READ_BYTES)
        if not data:
            self.receive_end()
            return
        try:
            self.parser.feed(data)
        except (MalformedAnswerError, AnswerTooLongError) as error:
            self.failure = UnreadableAnswerError(str(error))
            if self.parser.answers and self.parser.answers[0].is_complete:
                return  # The malformed bytes follow a complete response.
            raise self.failure from None

    def receive_end(self) -> None:
        """Handle the close of the connection; raise if it cuts off the answer."""
        if not self.parser.answers:
            raise RemoteDisconnected("closed without an answer")
        if not self.parser.feed_eof():
            raise IncompleteRead(b"")

    def read(self, amt: int | None = None) -> bytes:
        """Read `amt` bytes of the body, fewer at its end, or all of it."""
        self.begin_read()
        while not self.answer.is_complete and (amt is None or self.held_bytes < amt):
            self.receive()
        return self.take(amt)

    def read1(self, n: int = -1) -> bytes:
        """Read up to `n` bytes of the body as soon as there are some."""
        self.begin_read()
        while not self.answer.is_complete and not self.held_bytes:
            self.receive()
        return self.take(None if n < 0 else n)

    def begin_read(self) -> None:
        """Bound the next read of a stream apart from those before."""
        if self.bound.is_stream:
            self.reader.restart()

    @property
    def held_bytes(self) -> int:
        """Bytes of the body that came and were not taken yet."""
        return len(self.rest) + sum(map(len, self.answer.parts))

    def take(self, count: int | None) -> bytes:
        """Return the next bytes that came; after the last ones, end the exchange."""
        held = self.rest + self.answer.take_parts()
        if count is None:
            count = len(held)
        data, self.rest = held[:count], held[count:]
        if self.answer.is_complete and not self.rest:
            self.close()
        return data

    @property
    def has_surplus(self) -> bool:
        """Whether bytes came that don't belong to this answer."""
        return self.failure is not None or len(self.parser.answers) > 1

    def close(self) -> None:
        """Read nothing more."""
        self.closed = True
        self.reader.close()

    def isclosed(self) -> bool:
        """Return whether there is nothing more to read, as urllib3 asks for it."""
        return self.closed
