"""The error for invalid requests."""

from __future__ import annotations


class RequestError(Exception):
    """An invalid request; the connection is closed after the error response."""

    code = "bad_request"

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
