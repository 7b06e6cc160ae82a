"""The error for requests of a page whose body is not read."""

from __future__ import annotations


class PageRefusedError(Exception):
    """A request that did not run; its connection is closed after the response.

    Attributes
    ----------
    status : str
        Status line, without the protocol.
    retry_after_seconds : float or None
        Value of the ``Retry-After`` header; None if a retry would not help.
    """

    code = "page_refused"

    def __init__(self, status: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.retry_after_seconds = retry_after_seconds

    def build_response(self) -> bytes:
        """Return the response to the request, the last one of its connection."""
        retry = ""
        if self.retry_after_seconds is not None:
            retry = f"Retry-After: {self.retry_after_seconds:.2f}\r\n"
        head = (
            f"HTTP/1.1 {self.status}\r\n{retry}Connection: close\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        return head.encode()
