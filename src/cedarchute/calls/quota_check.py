"""Rejects or delays the calls of a workspace beyond its rate limit."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.decisions.quota_share import MAX_WAIT_SECONDS, QuotaLimit
from cedarchute.turns.quota_client import NoQuotaServerError

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.metrics import Metrics
    from cedarchute.turns.quota_client import QuotaClient

log = logging.getLogger("cedarchute.calls")

# Retry delay when no quota server answered; by then silent ones are asked last.
NO_KEEPER_RETRY_SECONDS: Final = 0.3
# Workspaces with a rejection counter of their own; the others share one.
MAX_COUNTED_WORKSPACES: Final = 128
# Share of the caller's timeout that a call may wait for its rate limit.
MAX_WAIT_TIMEOUT_SHARE: Final = 0.25
# Minimum retry delay: a caller that returns at once competes with all others that do.
MIN_RETRY_SECONDS: Final = 0.1


def compute_max_wait(call: Call) -> float:
    """Return how many seconds a call may wait for its workspace's rate limit."""
    if call.caller_timeout_seconds is None:
        return MAX_WAIT_SECONDS
    return min(MAX_WAIT_SECONDS, MAX_WAIT_TIMEOUT_SHARE * call.caller_timeout_seconds)


class QuotaCheck:
    """Enforces rate limits; calls of workspaces without one pass at no cost."""

    def __init__(self, client: QuotaClient, metrics: Metrics) -> None:
        self.client = client
        self.metrics = metrics
        self.counted_workspaces: set[str] = set()

    def check(self, call: Call) -> None:
        """Return once the call is within its workspace's limit.

        Raises
        ------
        CallRefusedError
            429 beyond the limit, 503 if no quota server answers; nothing ran.
        """
        workspace = call.caller_identity.workspace if call.caller_identity else None
        if workspace is None or not workspace.is_limited:
            return
        limit = QuotaLimit(
            call.configuration_version, workspace.calls_per_second, workspace.burst
        )
        begins = call.begins_program
        max_wait = compute_max_wait(call)
        try:
            grant = self.client.ask(workspace.name, limit, begins, max_wait)
        except NoQuotaServerError as error:
            self.metrics.count_refusal("no_quota_keeper")
            facts = {"workspace": workspace.name}
            wait = NO_KEEPER_RETRY_SECONDS
            raise CallRefusedError(503, str(error), wait, facts) from None
        if grant.granted:
            self.wait(grant.wait_seconds, workspace.name)
            return
        self.metrics.count_refusal("quota")
        self.count_by_workspace(workspace.name)
        wait = max(MIN_RETRY_SECONDS, grant.wait_seconds)
        facts = {
            "workspace": workspace.name,
            "calls_per_second": workspace.calls_per_second,
            "burst": workspace.burst,
            "begins_program": begins,
            "level": round(grant.level, 2),
            "retry_after": round(wait, 2),
        }
        raise CallRefusedError(429, "beyond the workspace's limit", wait, facts)

    def wait(self, seconds: float, workspace: str) -> None:
        """Sleep for `seconds` and record the delay."""
        if seconds <= 0:
            return
        self.metrics.time("quota.wait", seconds)
        log.info(
            "Call delayed by the rate limit of its workspace.",
            extra={"workspace": workspace, "ms": round(seconds * 1000, 1)},
        )
        eventlet.sleep(seconds)

    def count_by_workspace(self, name: str) -> None:
        """Count a rejection by workspace, or as "others" beyond the maximum."""
        if len(self.counted_workspaces) < MAX_COUNTED_WORKSPACES:
            self.counted_workspaces.add(name)
        label = name if name in self.counted_workspaces else "others"
        self.metrics.count(f"quota.refused.{label}")
