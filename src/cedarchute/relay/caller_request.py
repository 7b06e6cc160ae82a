"""One request of a caller, whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.relay.headers import Headers


class CallerRequest(Record):
    """A request as it came in.

    Attributes
    ----------
    target : bytes
        Path and query, neither decoded nor normalised.
    read_at : float
        When its last byte had been read, seconds of the monotonic clock.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    read_at: float

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]

    @property
    def host(self) -> str:
        """The host asked for, without a port, in lower case."""
        return self.headers.get_text(b"host").partition(":")[0].lower()
