"""Rejects or delays the calls of a workspace beyond its rate limit."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.decisions.calls_per_turn import CallsPerTurn
from cedarchute.decisions.program_turn import ProgramTurn
from cedarchute.decisions.quota_share import MAX_WAIT_SECONDS, QuotaLimit
from cedarchute.turns.quota_client import NoQuotaServerError

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.decisions.quota_share import QuotaGrant
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
PROGRAM_REFUSED: Final = "whole_program"
# By whether a whole program was refused.
REASONS: Final = {
    False: "beyond the workspace's limit",
    True: "the workspace's limit does not hold a further program",
}


def compute_max_wait(call: Call) -> float:
    """Return how many seconds a call may wait for its workspace's rate limit."""
    if call.caller_timeout_seconds is None:
        return MAX_WAIT_SECONDS
    return min(MAX_WAIT_SECONDS, MAX_WAIT_TIMEOUT_SHARE * call.caller_timeout_seconds)


class QuotaCheck:
    """Enforces rate limits; calls of workspaces without one pass at no cost.

    Parameters
    ----------
    whole_programs : bool
        Whether a program is admitted only if its limit holds all of its calls.
    """

    def __init__(
        self, client: QuotaClient, metrics: Metrics, *, whole_programs: bool = False
    ) -> None:
        self.client = client
        self.metrics = metrics
        self.whole_programs = whole_programs
        self.calls_per_turn = CallsPerTurn()
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
            grant = self.ask(call, limit, max_wait)
        except NoQuotaServerError as error:
            self.metrics.count_refusal("no_quota_keeper")
            facts = {"workspace": workspace.name}
            wait = NO_KEEPER_RETRY_SECONDS
            raise CallRefusedError(503, str(error), wait, facts) from None
        if grant.granted:
            self.count_calls(call)
            self.wait(grant.wait_seconds, workspace.name)
            return
        reason = PROGRAM_REFUSED if grant.refuses_program else "quota"
        self.metrics.count_refusal(reason)
        self.count_by_workspace(workspace.name)
        wait = max(MIN_RETRY_SECONDS, grant.wait_seconds)
        facts = {
            "workspace": workspace.name,
            "calls_per_second": workspace.calls_per_second,
            "burst": workspace.burst,
            "begins_program": begins,
            "tokens_left": round(grant.level, 2),
            "retry_after": round(wait, 2),
        }
        if grant.refuses_program:
            facts.update(self.describe_program(call, wait))
        raise CallRefusedError(429, REASONS[grant.refuses_program], wait, facts)

    def ask(self, call: Call, limit: QuotaLimit, max_wait: float) -> QuotaGrant:
        """Return whether a call is granted; a turn's program is named if it counts."""
        begins = call.begins_program
        if not (self.whole_programs and call.is_turn):
            return self.client.ask(call.workspace, limit, begins, max_wait)
        turn = ProgramTurn(
            call.program_key,
            call.kind,
            round(self.calls_per_turn.mean, 3),
            begins,
            call.program.soft_deadline_seconds,
        )
        return self.client.ask(call.workspace, limit, begins, max_wait, turn)

    def count_calls(self, call: Call) -> None:
        """Count a granted call of a program, for the mean calls of a turn."""
        if self.whole_programs and call.program.program:
            self.calls_per_turn.count(call.is_turn)

    def describe_program(self, call: Call, wait: float) -> dict[str, object]:
        """Return the facts about a refused program."""
        left = call.program.soft_deadline_seconds
        return {
            "kind": call.kind,
            "calls_per_turn": round(self.calls_per_turn.mean, 2),
            "in_time": left is None or wait < left,
        }

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
