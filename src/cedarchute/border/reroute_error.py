"""The error of a home that has to be looked for again."""

from __future__ import annotations


class RerouteError(Exception):
    """The home could not be reached or is elsewhere; look for it again.

    `was_sent` is false when the request surely did not reach the other box.
    """

    code = "reroute"

    def __init__(self, detail: str, *, was_sent: bool) -> None:
        super().__init__(detail)
        self.was_sent = was_sent
