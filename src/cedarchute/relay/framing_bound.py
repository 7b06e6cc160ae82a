"""Bounds what frames a body without being a part of it, whoever sends it."""

from __future__ import annotations

from typing import Final

# The smallest chunk is one byte between five others; some senders pad its size.
MAX_FRAMING_PER_BYTE: Final = 16


class FramingBound:
    """Counts trailers, chunk sizes and their extensions against what they frame.

    Attributes
    ----------
    framing_bytes : int
        Bytes that are no part of a body, since the last start.
    body_bytes : int
        Bytes of the body since then.
    """

    def __init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Begin to count anew: a head has ended, or a message."""
        self.framing_bytes = 0
        self.body_bytes = 0

    def count(self, received: int, of_body: int) -> None:
        """Count bytes that were received.

        Parameters
        ----------
        of_body : int
            How many of them belong to a body.
        """
        self.framing_bytes += received - of_body
        self.body_bytes += of_body

    def is_exceeded(self, max_bytes: int) -> bool:
        """Return whether there is more framing than `max_bytes` and the body allow."""
        allowed = max_bytes + MAX_FRAMING_PER_BYTE * self.body_bytes
        return self.framing_bytes > allowed
