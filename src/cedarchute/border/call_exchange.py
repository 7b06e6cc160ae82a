"""The state of a caller's request while it is served or forwarded."""

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
    """A caller's request for a call, forwarded again when the owner changes.

    Attributes
    ----------
    request : CallRequest or None
        The call to run; None fetches the response of an earlier call.
    seconds : float
        Timeout of the request.
    is_forwarded : bool
        Another box forwarded the request; it is not forwarded a second time.
    attempt, offset : int
        Position of the stream, in characters of this attempt, that the caller has
        received.
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
        """The path of the request when forwarded to another box."""
        if self.request is None:
            stream = "?stream=1" if self.is_stream else ""
            return f"/v1/programs/{self.program}/calls/{self.key}{stream}"
        return f"/v1/programs/{self.program}/calls"

    @property
    def method(self) -> str:
        """The HTTP method of the request when forwarded to another box."""
        return "GET" if self.request is None else "POST"

    @property
    def headers(self) -> dict[str, str]:
        """The headers of the request when forwarded to another box."""
        return {
            "Content-Type": "application/json",
            "Idempotency-Key": self.key,
            REQUEST_ID_HEADER: self.request_id,
            "Last-Event-ID": f"{self.attempt}.{self.offset}",
        }

    def make_forwarded_request(self, box: BoxRecord) -> ForwardedRequest:
        """Return the request to send to `box`."""
        return ForwardedRequest(
            partition=self.partition,
            box=box,
            method=self.method,
            path=self.path,
            body=self.body,
            headers=self.headers,
            seconds=self.seconds + 2 * ANSWER_MARGIN_SECONDS,
        )
