"""Cuts the stream of another box into what can be passed on at once."""

from __future__ import annotations

import re
from typing import Final

from cedarchute.border.answers import DONE_EVENT

EVENT_END: Final = b"\n\n"
# A whole line: text may hold "id: " too, but is JSON and has no line ends.
POSITION_LINE: Final = re.compile(rb"^id: (\d+)\.(\d+)$", re.MULTILINE)


class EventBuffer:
    """Gives out whole events, and those of the end of a stream all together.

    Every event but those of the end has a position, from which another home can go on.
    A caller that got half of the end would take its answer for whole, although a
    problem may follow when nobody takes the home over.

    Attributes
    ----------
    attempt, offset : int
        The position of the last event that was given out.
    is_whole : bool
        The end of the stream was given out.
    """

    def __init__(self, attempt: int = 0, offset: int = 0) -> None:
        self.attempt = attempt
        self.offset = offset
        self.rest = b""
        self.is_whole = False

    def feed(self, chunk: bytes) -> bytes:
        """Take in some bytes; return what can be passed on, maybe nothing."""
        self.rest += chunk
        end = self.find_end()
        if self.rest.endswith(DONE_EVENT):
            end = len(self.rest)
            self.is_whole = True
        data, self.rest = self.rest[:end], self.rest[end:]
        return data

    def find_end(self) -> int:
        """Return where the last whole event that has a position ends; 0 for none."""
        whole = self.rest.rfind(EVENT_END)
        if whole < 0:
            return 0
        position = None
        for match in POSITION_LINE.finditer(self.rest, 0, whole):
            position = match
        if position is None:
            return 0
        self.attempt = int(position[1])
        self.offset = int(position[2])
        return self.rest.index(EVENT_END, position.end()) + len(EVENT_END)
