"""A complete request from a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.relay.headers import Headers


class CallerRequest(Record):
    """A request as received.

    Attributes
    ----------
    target : bytes
        Path and query, neither decoded nor normalised (request target).
    read_at : float
        Monotonic time at which its last byte was read.
    head_bytes : int
        What its head costs in memory.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    read_at: float
    head_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """What the request costs in memory."""
        return self.head_bytes + len(self.body)

    @property
    def path(self) -> bytes:
        """The request target without its query."""
        return self.target.partition(b"?")[0]

    @property
    def host(self) -> str:
        """The requested host in lower case, without a port."""
        return self.headers.get_text(b"host").partition(":")[0].lower()
