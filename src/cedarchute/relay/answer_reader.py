"""Cuts the bytes of a target's connection into answers."""

from __future__ import annotations

from collections import deque
from typing import Final

import httptools

from cedarchute.relay.headers import Headers
from cedarchute.relay.target_answer import TargetAnswer

BODILESS_STATUSES: Final = frozenset((204, 304))


class AnswerReader:
    """Collects answers in the order in which they come.

    More of them may come than requests went out; which one belongs to a request
    is for the reader of `answers` to find out.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.answers: deque[TargetAnswer] = deque()
        self.open: TargetAnswer | None = None

    def feed(self, data: bytes) -> None:
        """Take in bytes; raise ``httptools.HttpParserError`` for what is no answer."""
        self.parser.feed_data(data)

    def feed_end(self) -> bool:
        """Take in an orderly close; return whether nothing is left unfinished."""
        if self.open is None:
            return True
        if self.open.has_head and self.open.ends_with_connection:
            self.on_message_complete()
            return True
        return False

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.open = TargetAnswer()
        self.answers.append(self.open)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header; trailers are dropped."""
        if self.open is not None and not self.open.has_head:
            self.open.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Finish the head."""
        answer = self.open
        if answer is None:
            return
        answer.status = self.parser.get_status_code()
        answer.headers = Headers(tuple(answer.fields))
        answer.keep_alive = self.parser.should_keep_alive()
        has_length = answer.headers.get(b"content-length") is not None
        is_chunked = b"chunked" in answer.headers.list_tokens(b"transfer-encoding")
        has_body = answer.status not in BODILESS_STATUSES and not answer.is_interim
        answer.ends_with_connection = has_body and not has_length and not is_chunked
        answer.has_head = True

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self.open is not None:
            self.open.parts.append(body)

    def on_message_complete(self) -> None:
        """Finish the answer."""
        if self.open is not None:
            self.open.is_complete = True
        self.open = None
