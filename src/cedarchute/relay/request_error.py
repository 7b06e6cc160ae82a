"""A request that cannot be taken, with the status that says so."""

from __future__ import annotations


class RequestError(Exception):
    """Bad input from a caller; the connection is closed after the answer."""

    code = "bad_request"

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
