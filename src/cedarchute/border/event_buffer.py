"""Cuts the stream of another box into what can be passed on at once."""

from __future__ import annotations

from typing import Final

from cedarchute.border.answers import DONE_EVENT

EVENT_END: Final = b"\n\n"
POSITION_FIELD: Final = b"id: "


class EventBuffer:
    """Gives out whole events, and those of the end of a stream all together.

    Every event but those of the end has a position, from which another home can go on.
    A caller that got half of the end would take its answer for whole, although a
    problem may follow when nobody takes the home over.

    Attributes
    ----------
    is_whole : bool
        The end of the stream was given out.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.is_whole = False

    def feed(self, chunk: bytes) -> bytes:
        """Take in some bytes; return what can be passed on, maybe nothing."""
        self.rest += chunk
        if self.rest.endswith(DONE_EVENT):
            self.is_whole = True
            data, self.rest = self.rest, b""
            return data
        end = self.find_end()
        data, self.rest = self.rest[:end], self.rest[end:]
        return data

    def find_end(self) -> int:
        """Return where the last whole event that has a position ends; 0 for none."""
        whole = self.rest.rfind(EVENT_END) + len(EVENT_END)
        if whole < len(EVENT_END):
            return 0
        # Text is JSON and has no line ends: this is never found within it.
        line = self.rest.rfind(b"\n" + POSITION_FIELD, 0, whole)
        if line < 0 and not self.rest.startswith(POSITION_FIELD):
            return 0
        return self.rest.index(EVENT_END, line + 1) + len(EVENT_END)
