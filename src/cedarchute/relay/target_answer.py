"""A target's response while it is received."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from cedarchute.relay.headers import Headers

if TYPE_CHECKING:
    from cedarchute.relay.headers import Headers as HeadersType

# Lowest status that reports a failure of the target.
MIN_SERVER_ERROR: Final = 500


class TargetAnswer:
    """A response whose body can be read while it is received.

    Attributes
    ----------
    is_close_delimited : bool
        Whether only an orderly close ends the body: it has no length and no chunks.
    parts : deque of bytes
        Received body bytes that were not taken yet.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: HeadersType = Headers()
        self.headers_complete = False
        self.is_complete = False
        self.keep_alive = False
        self.is_close_delimited = False
        self.parts: deque[bytes] = deque()
        self.fields: list[tuple[bytes, bytes]] = []

    @property
    def is_interim(self) -> bool:
        """Whether this is an interim (1xx) response."""
        return 100 <= self.status < 200

    def take_parts(self) -> bytes:
        """Return and remove the body bytes received since the last call."""
        joined = b"".join(self.parts)
        self.parts.clear()
        return joined
