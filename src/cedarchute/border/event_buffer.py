"""Splits the stream of another box into chunks that can be forwarded."""

from __future__ import annotations

import re
from typing import Final

from cedarchute.border.answers import DONE_EVENT

EVENT_END: Final = b"\n\n"
# Matches a whole line: text may contain "id: " too, but JSON escapes its line ends.
POSITION_PATTERN: Final = re.compile(rb"^id: (\d+)\.(\d+)$", re.MULTILINE)


class EventBuffer:
    """Releases complete events, and the final events of a stream all at once.

    Every event but the final ones has a position, from which the next owner resumes the
    stream. A caller that received only some of the final events would take its response
    for complete, although a problem may follow if no box takes the program over.

    Attributes
    ----------
    attempt, offset : int
        The position of the last event released.
    is_complete : bool
        The end of the stream was released.
    """

    def __init__(self, attempt: int = 0, offset: int = 0) -> None:
        self.attempt = attempt
        self.offset = offset
        self.pending = b""
        self.is_complete = False

    def feed(self, chunk: bytes) -> bytes:
        """Buffer `chunk`; return the bytes that can be forwarded, possibly none."""
        self.pending += chunk
        end = self.find_resumable_end()
        if self.pending.endswith(DONE_EVENT):
            end = len(self.pending)
            self.is_complete = True
        data, self.pending = self.pending[:end], self.pending[end:]
        return data

    def find_resumable_end(self) -> int:
        """Return the end of the last complete event with a position; 0 for none.

        Also sets `attempt` and `offset` to the position of that event.
        """
        last_end = self.pending.rfind(EVENT_END)
        if last_end < 0:
            return 0
        last_match = None
        for match in POSITION_PATTERN.finditer(self.pending, 0, last_end):
            last_match = match
        if last_match is None:
            return 0
        self.attempt = int(last_match[1])
        self.offset = int(last_match[2])
        return self.pending.index(EVENT_END, last_match.end()) + len(EVENT_END)
