"""The error for invalid requests."""

from __future__ import annotations


class RequestError(Exception):
    """A request that is not read; the connection is closed after the error response.

    Attributes
    ----------
    retry_after_seconds : float or None
        Value of the ``Retry-After`` header; None if a retry would not help.
    body_follows : bool
        Whether the caller may still be sending a body that was not too large: it reads
        its response only after that.
    """

    code = "bad_request"

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_seconds: float | None = None,
        body_follows: bool = False,
    ) -> None:
        super().__init__(reason)
        self.retry_after_seconds = retry_after_seconds
        self.body_follows = body_follows
        self.status = status
        self.reason = reason

    def build_response(self) -> bytes:
        """Return the response to the request, the last one of its connection."""
        body = self.reason.encode() + b"\n"
        retry = b""
        if self.retry_after_seconds is not None:
            retry = b"Retry-After: %.2f\r\n" % self.retry_after_seconds
        head = (
            b"HTTP/1.1 %d Refused\r\nContent-Type: text/plain\r\n%s"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n"
        )
        return head % (self.status, retry, len(body)) + body
