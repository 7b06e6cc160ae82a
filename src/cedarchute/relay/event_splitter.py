"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import re
from typing import Final

from cedarchute.relay.answer_limits import DEFAULT_LIMITS
from cedarchute.relay.answer_too_long import AnswerPart, AnswerTooLongError

DATA_FIELD: Final = b"data"
ID_FIELD: Final = b"id"
BLANK_LINE: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
BLANK_LINE_BYTES: Final = 4


class EventSplitter:
    """Buffers bytes and returns complete events, byte for byte as received.

    An event that is cut short stays in the buffer.

    Attributes
    ----------
    rest : bytes
        The start of an event that is not complete yet.
    """

    def __init__(self, max_event_bytes: int = DEFAULT_LIMITS.event_bytes) -> None:
        self.max_event_bytes = max_event_bytes
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes to the buffer; return the events that are now complete.

        Raises
        ------
        AnswerTooLongError
            When an event goes on for too long.
        """
        # A blank line may have begun in what was searched before.
        search_from = max(0, len(self.rest) - BLANK_LINE_BYTES + 1)
        buffer = self.rest + data
        events = []
        start = 0
        while found := BLANK_LINE.search(buffer, search_from):
            events.append(buffer[start : found.end()])
            start = search_from = found.end()
        self.rest = buffer[start:] if start else buffer
        if len(self.rest) > self.max_event_bytes:
            raise AnswerTooLongError(AnswerPart.EVENT, self.max_event_bytes)
        return events


def read_data(event: bytes) -> bytes | None:
    """Return the data lines of an event, joined; None if it has none."""
    lines = read_fields(event, DATA_FIELD)
    return b"\n".join(lines) if lines else None


def read_id(event: bytes) -> bytes | None:
    """Return the id of an event; None if it has none."""
    lines = read_fields(event, ID_FIELD)
    return lines[-1] if lines else None


def read_fields(event: bytes, wanted: bytes) -> list[bytes]:
    """Return the values of one field of an event, in their order."""
    values = []
    for line in event.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n"):
        name, _, value = line.partition(b":")
        if name == wanted:
            values.append(value.removeprefix(b" "))
    return values
