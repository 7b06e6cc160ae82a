"""Refuses the calls of a workspace beyond its limit."""

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

# Keepers that are cut off or frozen are asked last from now on, or replaced.
NO_KEEPER_RETRY_SECONDS: Final = 0.3
# Counters of refusals by workspace; those beyond share one.
MOST_COUNTED: Final = 128
# Of the time that a caller waits, what may go before its call is sent.
PATIENCE_SHARE: Final = 0.25
# Whoever comes back at the very moment meets the others who do.
LEAST_RETRY_SECONDS: Final = 0.1


def find_patience(call: Call) -> float:
    """Return how long a call may wait for its workspace's limit."""
    if call.caller_timeout_seconds is None:
        return MAX_WAIT_SECONDS
    return min(MAX_WAIT_SECONDS, PATIENCE_SHARE * call.caller_timeout_seconds)


class QuotaCheck:
    """Asks for each call of a workspace with a limit; the others cost nothing."""

    def __init__(self, client: QuotaClient, metrics: Metrics) -> None:
        self.client = client
        self.metrics = metrics
        self.counted: set[str] = set()

    def check(self, call: Call, version: int) -> None:
        """Let a call pass.

        Parameters
        ----------
        version : int
            The version of the configuration that the call's permit is from.

        Raises
        ------
        CallRefusedError
            429 beyond the limit, 503 when that can't be told; nothing ran.
        """
        workspace = call.caller_identity.workspace if call.caller_identity else None
        if workspace is None or not workspace.is_limited:
            return
        limit = QuotaLimit(version, workspace.calls_per_second, workspace.burst)
        begins = call.begins_program
        patience = find_patience(call)
        try:
            grant = self.client.ask(workspace.name, limit, begins, patience)
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
        wait = max(LEAST_RETRY_SECONDS, grant.wait_seconds)
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
        """Wait until the call may pass."""
        if seconds <= 0:
            return
        self.metrics.time("quota.wait", seconds)
        log.info(
            "Call waits for its workspace's limit.",
            extra={"workspace": workspace, "ms": round(seconds * 1000, 1)},
        )
        eventlet.sleep(seconds)

    def count_by_workspace(self, name: str) -> None:
        """Count a refusal under its workspace, up to a number of them."""
        if len(self.counted) < MOST_COUNTED:
            self.counted.add(name)
        told = name if name in self.counted else "others"
        self.metrics.count(f"quota.refused.{told}")
