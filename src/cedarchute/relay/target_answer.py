"""The answer of a target, as it comes in."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from cedarchute.relay.headers import Headers

if TYPE_CHECKING:
    from cedarchute.relay.headers import Headers as HeadersType


class TargetAnswer:
    """One message on a target's connection; parts are taken as they come.

    Attributes
    ----------
    ends_with_connection : bool
        Whether it has neither length nor chunks, so only an orderly close ends it.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: HeadersType = Headers()
        self.has_head = False
        self.is_complete = False
        self.keep_alive = False
        self.ends_with_connection = False
        self.parts: deque[bytes] = deque()
        self.fields: list[tuple[bytes, bytes]] = []

    @property
    def is_interim(self) -> bool:
        """Whether this is a 1xx answer, which another one follows."""
        return 100 <= self.status < 200

    def take_parts(self) -> bytes:
        """Return the bytes of the body that have come since the last call."""
        joined = b"".join(self.parts)
        self.parts.clear()
        return joined
