"""The error of a request that has to be sent to another owner."""

from __future__ import annotations


class RerouteError(Exception):
    """The owner can't be reached or has changed; locate it again.

    `was_sent` is false only when the other box certainly did not process the request.
    """

    code = "reroute"

    def __init__(self, detail: str, *, was_sent: bool) -> None:
        super().__init__(detail)
        self.was_sent = was_sent
