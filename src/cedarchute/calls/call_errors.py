"""Why a call gets an answer of our own."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class CallRefusedError(Exception):
    """A call is given up; the status promises what is known.

    Attributes
    ----------
    status : int
        503 and 402 promise that nothing ran and nothing will; 502 and 504 promise
        nothing.
    retry_after_seconds : float or None
        When to come back, if that helps.
    facts : Mapping
        What it was decided by, for the log.
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
