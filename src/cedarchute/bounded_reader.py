"""Reads what another process sends, up to a number of bytes and a time."""

from __future__ import annotations

import io
import time
from typing import TYPE_CHECKING

from cedarchute.cooperative_turn import CooperativeTurn

if TYPE_CHECKING:
    from collections.abc import Buffer

    from cedarchute.pressure.body_pace import BodyPace


class ReadBoundError(OSError):
    """A message has more bytes than it may have."""

    code = "read_bound"


class BoundedReader(io.RawIOBase):
    """Reads one message from a socket.

    Parameters
    ----------
    max_bytes : int
        What may be read.
    max_seconds : float
        How long reading may take; the socket bounds each single read.

    Attributes
    ----------
    pace : BodyPace or None
        Tells what comes too slowly near the bound on held bytes.
    """

    def __init__(self, raw: io.RawIOBase, max_bytes: int, max_seconds: float) -> None:
        self.raw = raw
        self.max_bytes = max_bytes
        self.max_seconds = max_seconds
        self.turn = CooperativeTurn()
        self.pace: BodyPace | None = None
        self.restart()

    def restart(self) -> None:
        """Begin to count anew."""
        self.started_at = time.monotonic()
        self.bytes_read = 0
        if self.pace is not None:
            self.pace.restart()

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Buffer) -> int | None:
        """Read into a buffer; return how many bytes.

        Raises
        ------
        ReadBoundError
            When there are too many.
        TimeoutError
            When reading has taken too long, or the socket has.
        """
        count = self.raw.readinto(buffer)
        if not count:
            return count
        self.bytes_read += count
        self.check_bounds()
        self.turn.spend(count)
        return count

    def check_bounds(self) -> None:
        """Raise if the message is too long or takes too long."""
        if self.bytes_read > self.max_bytes:
            raise ReadBoundError(f"message longer than {self.max_bytes} bytes")
        now = time.monotonic()
        if now - self.started_at > self.max_seconds:
            raise TimeoutError("message takes too long")
        if self.pace is not None and self.pace.is_too_slow(self.bytes_read, now):
            raise TimeoutError("message sent too slowly")

    def close(self) -> None:
        """Close the socket's file."""
        self.raw.close()
        super().close()
