"""One caller's request for a call, as it is followed from box to box."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from cedarchute.border.forwarded_request import ForwardedRequest
from cedarchute.programs.program_id import parse_partition
from cedarchute.request_ids import REQUEST_ID_HEADER

if TYPE_CHECKING:
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.programs.requests import CallRequest

ANSWER_MARGIN_SECONDS: Final = 5.0


@dataclass
class CallExchange:
    """One caller's request as it is followed from box to box.

    Attributes
    ----------
    is_forwarded : bool
        Another box passed the request on; it is not passed on again.
    attempt, offset : int
        How much of the stream the caller has.
    """

    program: str
    key: str
    request: CallRequest | None
    body: bytes | None
    seconds: float
    is_stream: bool
    is_forwarded: bool
    request_id: str
    attempt: int = 0
    offset: int = 0

    @property
    def partition(self) -> str:
        """The partition of the program."""
        return parse_partition(self.program)

    @property
    def path(self) -> str:
        """The path under which another box takes the same request."""
        if self.request is None:
            stream = "?stream=1" if self.is_stream else ""
            return f"/v1/programs/{self.program}/calls/{self.key}{stream}"
        return f"/v1/programs/{self.program}/calls"

    @property
    def method(self) -> str:
        """The method under which another box takes the same request."""
        return "GET" if self.request is None else "POST"

    @property
    def headers(self) -> dict[str, str]:
        """The headers with which another box takes the same request."""
        return {
            "Content-Type": "application/json",
            "Idempotency-Key": self.key,
            REQUEST_ID_HEADER: self.request_id,
            "Last-Event-ID": f"{self.attempt}.{self.offset}",
        }

    def to(self, box: BoxRecord) -> ForwardedRequest:
        """Return the same request as another box takes it."""
        return ForwardedRequest(
            partition=self.partition,
            box=box,
            method=self.method,
            path=self.path,
            body=self.body,
            headers=self.headers,
            seconds=self.seconds + 2 * ANSWER_MARGIN_SECONDS,
        )
