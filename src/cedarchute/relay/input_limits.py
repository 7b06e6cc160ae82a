"""Limits on the size and duration of a caller's input."""

from __future__ import annotations

from cedarchute.record import Record


class InputLimits(Record):
    """Limits on a caller's input; the defaults apply without a configuration.

    A request that exceeds the defaults may be proper by the first configuration.

    Attributes
    ----------
    header_seconds : float
        How long the caller may take to send the headers of a request.
    idle_seconds : float
        How long an idle connection stays open, and the longest pause within a body.
    is_configured : bool
        Whether a configuration sets these limits.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    is_configured: bool = True
