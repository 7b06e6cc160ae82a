"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

from typing import Final

DATA_FIELD: Final = b"data"
ID_FIELD: Final = b"id"
BLANK_LINES: Final = (b"\r\n\r\n", b"\n\n", b"\r\r")


class EventSplitter:
    """Buffers bytes and returns complete events, byte for byte as received.

    An event that is cut short stays in the buffer.

    Attributes
    ----------
    rest : bytes
        The start of an event that is not complete yet.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes to the buffer; return the events that are now complete."""
        self.rest += data
        events = []
        while (end := self.find_event_end()) > 0:
            events.append(self.rest[:end])
            self.rest = self.rest[end:]
        return events

    def find_event_end(self) -> int:
        """Return the end offset of the first event, 0 if it is incomplete."""
        ends = [
            position + len(blank_line)
            for blank_line in BLANK_LINES
            if (position := self.rest.find(blank_line)) >= 0
        ]
        return min(ends, default=0)


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
