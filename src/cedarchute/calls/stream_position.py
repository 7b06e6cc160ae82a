"""Where the caller of a stream stands, by the ids of its events."""

from __future__ import annotations

from typing import Final

from cedarchute.relay.event_splitter import read_data, read_id

# More digits are no id that a target counts events with.
MAX_DIGITS: Final = 18


class StreamPosition:
    """Tracks the events that went to the caller, over all runs of a stream.

    Attributes
    ----------
    last_event_id : bytes
        Id of the last event; empty before the first, and for good once an event had
        no id that rose.
    """

    def __init__(self) -> None:
        self.last_event_id = b""
        self.is_known = True

    def follows(self, event: bytes) -> bool:
        """Return whether an event may come next: its id rises, or it has no data."""
        event_id = read_id(event)
        if event_id is None:
            return read_data(event) is None
        if not _is_number(event_id):
            return False
        return not self.last_event_id or int(event_id) > int(self.last_event_id)

    def advance(self, event: bytes) -> None:
        """Record an event that went to the caller."""
        if not self.is_known:
            return
        if not self.follows(event):
            self.is_known = False
            self.last_event_id = b""
            return
        self.last_event_id = read_id(event) or self.last_event_id


def _is_number(text: bytes) -> bool:
    return text.isdigit() and len(text) <= MAX_DIGITS
