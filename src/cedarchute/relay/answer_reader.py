"""Parses the byte stream of a target connection into responses."""

from __future__ import annotations

from collections import deque
from typing import Final

import httptools

from cedarchute.relay.answer_head import check_first_byte, check_head
from cedarchute.relay.answer_limits import DEFAULT_LIMITS, AnswerLimits
from cedarchute.relay.answer_too_long import AnswerPart, AnswerTooLongError
from cedarchute.relay.framing_bound import FramingBound
from cedarchute.relay.headers import Headers
from cedarchute.relay.malformed_answer_error import MalformedAnswerError
from cedarchute.relay.target_answer import TargetAnswer

BODILESS_STATUSES: Final = frozenset((204, 304))
# Each costs many times its bytes once parsed.
MAX_HEADERS: Final = 256
MAX_INTERIM_ANSWERS: Final = 32


class AnswerReader:
    """Collects the responses of a connection in order of arrival.

    There may be more responses than requests; the consumer of `answers` matches them
    to requests. Interim ones (RFC 9110, section 15.2) are not among them. Every answer
    that a box reads comes through here, whoever sent it, so that the same bytes are an
    answer everywhere or nowhere.

    Attributes
    ----------
    expects_body : bool
        Whether the next response may have a body; a response to HEAD has none.
    framing : FramingBound
        Counts a head, then what frames the body without being a part of it.
    body_bytes : int
        Bytes of a body among those that were fed last.
    has_ended_head : bool
        Whether a head, but for interim ones, ended among them.
    interim_answers : int
        How many came since the last response that is not interim.
    excess : AnswerTooLongError or None
        Why a head is refused: it has too many headers or interim answers before it.
    """

    def __init__(self, limits: AnswerLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.framing = FramingBound()
        self.body_bytes = 0
        self.interim_answers = 0
        self.excess: AnswerTooLongError | None = None
        self.reason = bytearray()
        self.on_status = self.reason.extend
        self.parser = httptools.HttpResponseParser(self)
        self.expects_body = True
        self.has_ended_head = False
        self.answers: deque[TargetAnswer] = deque()
        self.current: TargetAnswer | None = None

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises
        ------
        MalformedAnswerError
            When they are no answer.
        AnswerTooLongError
            When a head goes on for too long.
        """
        self.body_bytes = 0
        self.has_ended_head = False
        self.parse(data)
        if self.excess is not None:
            raise self.excess
        if self.has_ended_head:
            self.framing.restart()
            return
        self.framing.count(len(data), self.body_bytes)
        if self.framing.is_exceeded(self.limits.head_bytes):
            raise AnswerTooLongError(AnswerPart.HEAD, self.limits.head_bytes)

    def parse(self, data: bytes) -> None:
        """Pass bytes to the parser; raise `MalformedAnswerError` if it refuses them."""
        if data and self.current is None:
            check_first_byte(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedAnswerError("protocol switched") from error
        except httptools.HttpParserError as error:
            # The parser wraps what a callback raises.
            cause = error.__context__
            if isinstance(cause, MalformedAnswerError):
                raise cause from None
            raise MalformedAnswerError(str(error)) from error

    def feed_eof(self) -> bool:
        """Handle an orderly close; return whether no response was cut short."""
        if self.current is None:
            return True
        if self.current.headers_complete and self.current.is_close_delimited:
            self.on_message_complete()
            return True
        return False

    def on_message_begin(self) -> None:
        """Start a new response."""
        self.reason.clear()
        self.current = TargetAnswer()
        self.answers.append(self.current)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers are dropped."""
        if self.current is None or self.current.headers_complete:
            return
        if len(self.current.fields) >= MAX_HEADERS:
            self.excess = AnswerTooLongError(AnswerPart.HEAD, MAX_HEADERS, "headers")
            return
        self.current.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Set the status, the headers and how the body is delimited."""
        answer = self.current
        if answer is None:
            return
        answer.status = self.parser.get_status_code()
        answer.headers = Headers(tuple(answer.fields))
        check_head(self.parser.get_http_version(), self.reason, answer)
        answer.keep_alive = self.parser.should_keep_alive()
        has_length = answer.headers.get(b"content-length") is not None
        is_chunked = b"chunked" in answer.headers.list_tokens(b"transfer-encoding")
        has_body = answer.status not in BODILESS_STATUSES and not answer.is_interim
        answer.is_close_delimited = has_body and not has_length and not is_chunked
        answer.headers_complete = True
        self.count_interim(answer)
        self.has_ended_head |= not answer.is_interim
        if not self.expects_body and not answer.is_interim:
            # The parser goes on to read a body, so it parses no further response.
            answer.keep_alive = False
            self.on_message_complete()

    def count_interim(self, answer: TargetAnswer) -> None:
        """Count the interim answers before one that is not."""
        if not answer.is_interim:
            self.interim_answers = 0
            return
        self.interim_answers += 1
        if self.interim_answers > MAX_INTERIM_ANSWERS:
            self.excess = AnswerTooLongError(
                AnswerPart.HEAD, MAX_INTERIM_ANSWERS, "interim answers"
            )

    def on_body(self, body: bytes) -> None:
        """Store bytes of the body."""
        self.body_bytes += len(body)
        if self.current is not None:
            self.current.parts.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete; drop an interim one."""
        if self.current is None:
            return
        self.current.is_complete = True
        if self.current.is_interim:
            self.answers.pop()
        self.current = None
