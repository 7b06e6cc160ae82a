"""The error for invalid requests."""

from __future__ import annotations


class RequestError(Exception):
    """An invalid request; the connection is closed after the error response."""

    code = "bad_request"

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason

    def build_response(self) -> bytes:
        """Return the response to the request, the last one of its connection."""
        body = self.reason.encode() + b"\n"
        head = (
            b"HTTP/1.1 %d Refused\r\nContent-Type: text/plain\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n"
        )
        return head % (self.status, len(body)) + body
