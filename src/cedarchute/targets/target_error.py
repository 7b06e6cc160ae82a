"""Errors of requests to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import urllib3

from cedarchute.peers.peer_client import is_refused
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from urllib3.response import BaseHTTPResponse


# Reason of a failure in the middle of a request.
BROKE_OFF: Final = "target_broke_off"


class TargetError(Exception):
    """A request to a target failed; the verdict says whether it may have run."""

    code = "target_failed"

    def __init__(
        self,
        reason: str,
        detail: str,
        verdict: Verdict,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail
        self.verdict = verdict
        self.retry_after = retry_after


def make_transport_error(error: Exception) -> TargetError:
    """Return the error and verdict for a failed HTTP exchange.

    The verdict is ``NOT_RUN`` only if no connection was established.
    """
    never_sent = is_refused(error) or isinstance(
        error,
        urllib3.exceptions.NewConnectionError | urllib3.exceptions.ConnectTimeoutError,
    )
    if never_sent:
        return TargetError("target_unreachable", str(error), Verdict.NOT_RUN)
    if isinstance(error, urllib3.exceptions.ReadTimeoutError):
        return TargetError("target_timeout", str(error), Verdict.MAY_HAVE_RUN)
    return TargetError(BROKE_OFF, str(error), Verdict.MAY_HAVE_RUN)


def make_status_error(response: BaseHTTPResponse) -> TargetError:
    """Return the error and verdict for an HTTP error status."""
    retry_after = response.headers.get("retry-after")
    seconds = float(retry_after) if retry_after else None
    detail = f"status {response.status}"
    if response.status in (429, 503):
        return TargetError("target_busy", detail, Verdict.NOT_RUN, seconds)
    if 400 <= response.status < 500:
        return TargetError("target_refused", detail, Verdict.NOT_RUN)
    return TargetError("target_error", detail, Verdict.MAY_HAVE_RUN, seconds)
