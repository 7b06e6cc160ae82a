"""A caller's connection that counts the events that reached it."""

from __future__ import annotations

from typing import Final

from experiments.raw_caller import RawCaller

EVENT_MARK: Final = b"data: "


class CountingCaller(RawCaller):
    """Counts events also of an answer that breaks off."""

    def __init__(self, address: str, seconds: float) -> None:
        super().__init__(address, seconds)
        self.seen = b""

    def start_request(self) -> None:
        """Begin to count anew."""
        self.seen = b""

    def receive(self) -> bytes:
        """Wait for bytes and keep them for the count."""
        received = super().receive()
        self.seen += received
        return received

    @property
    def event_count(self) -> int:
        """Events begun since the request."""
        return self.seen.count(EVENT_MARK)
