"""Cuts a stream of server-sent events into whole events."""

from __future__ import annotations

from typing import Final

DATA: Final = b"data"
BLANK_LINES: Final = (b"\r\n\r\n", b"\n\n", b"\r\r")


class EventSplitter:
    """Hands out whole events as they came, and the data that each carries.

    An event that its sender broke off halfway is never handed out.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take in bytes; return the events that are whole now, unaltered."""
        self.rest += data
        events = []
        while (end := self.find_end()) > 0:
            events.append(self.rest[:end])
            self.rest = self.rest[end:]
        return events

    def find_end(self) -> int:
        """Return where the first event ends, 0 when it is not whole yet."""
        ends = [
            at + len(blank)
            for blank in BLANK_LINES
            if (at := self.rest.find(blank)) >= 0
        ]
        return min(ends, default=0)


def read_data(event: bytes) -> bytes | None:
    """Return what an event carries, its lines joined; None when it has no data."""
    lines = []
    for line in event.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n"):
        name, _, value = line.partition(b":")
        if name == DATA:
            lines.append(value.removeprefix(b" "))
    return b"\n".join(lines) if lines else None
