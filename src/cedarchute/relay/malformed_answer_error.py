"""The error for bytes that are no answer."""

from __future__ import annotations


class MalformedAnswerError(Exception):
    """Bytes in the place of an answer break the rules of HTTP/1.1."""

    code = "malformed_answer"
