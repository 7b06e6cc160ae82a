"""Keeps a holder's shares of the limits of workspaces, in memory."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from cedarchute.decisions.quota_share import QuotaLimit, QuotaShare
from cedarchute.turns.messages import QuotaAnswered

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.decisions.quota_share import QuotaTolerance
    from cedarchute.turns.messages import AskQuota

# Workspaces whose shares are remembered: some times as many as a fleet of hundreds of
# boxes serves. Shares beyond that are forgotten, those asked for longest ago first.
MOST_SHARES: Final = 4096


class QuotaServer:
    """Answers for the workspaces whose calls it is asked about."""

    def __init__(self, tolerance: QuotaTolerance, clock: Clock) -> None:
        self.tolerance = tolerance
        self.clock = clock
        self.started_at = clock.monotonic()
        self.shares: OrderedDict[str, QuotaShare] = OrderedDict()

    def ask(self, message: AskQuota) -> QuotaAnswered:
        """Grant a call of a workspace, or tell when one may pass."""
        limit = QuotaLimit(
            message.version,
            message.calls_per_second,
            message.burst,
            max(1, message.keepers),
        )
        share = self.shares.get(message.workspace)
        if share is None:
            share = QuotaShare(limit, self.tolerance, self.clock, self.started_at)
            self.shares[message.workspace] = share
            if len(self.shares) > MOST_SHARES:
                self.shares.popitem(last=False)
        self.shares.move_to_end(message.workspace)
        share.update_limit(limit)
        grant = share.acquire(message.begins_program, message.patience_seconds)
        return QuotaAnswered(grant.granted, grant.wait_seconds, grant.level)
