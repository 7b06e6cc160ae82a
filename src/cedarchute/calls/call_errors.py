"""Errors that end a call with a response of the box itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class CallRefusedError(Exception):
    """A call ends without a target's response.

    Attributes
    ----------
    status : int
        HTTP status of the response. 402 and 503 guarantee that no target ran the
        call or will run it; 502 and 504 guarantee nothing.
    reason : str
        Text of the response.
    retry_after_seconds : float or None
        Value of the ``Retry-After`` header; None if a retry would not help.
    facts : Mapping
        Inputs of the decision, added to the log line.
    """

    code = "call_refused"

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_seconds: float | None = None,
        facts: Mapping[str, object] | None = None,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds
        self.facts = facts or {}
