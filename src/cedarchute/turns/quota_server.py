"""Grants calls from this box's in-memory shares of workspace limits."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from cedarchute.decisions.quota_share import QuotaLimit, QuotaShare
from cedarchute.turns.messages import QuotaAnswered

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.decisions.quota_share import QuotaTolerance
    from cedarchute.turns.messages import AskQuota

log = logging.getLogger("cedarchute.turns")

# Bounds memory; the least recently used share is evicted beyond it. Several times the
# workspaces of a fleet of hundreds of boxes.
MAX_SHARES: Final = 4096


class QuotaServer:
    """Serves quota requests; a share is created on its first request.

    Parameters
    ----------
    is_restarted : bool
        Whether an earlier process has served from the same disk.
    """

    def __init__(
        self, tolerance: QuotaTolerance, clock: Clock, *, is_restarted: bool
    ) -> None:
        self.tolerance = tolerance
        self.clock = clock
        self.is_restarted = is_restarted
        self.started_at = clock.monotonic()
        self.shares: OrderedDict[str, QuotaShare] = OrderedDict()

    def ask(self, message: AskQuota) -> QuotaAnswered:
        """Grant a call of a workspace, or return when one may be granted."""
        limit = QuotaLimit(
            message.version,
            message.calls_per_second,
            message.burst,
            max(1, message.keepers),
        )
        share = self.shares.get(message.workspace)
        if share is None:
            share = self.create_share(message.workspace, limit)
        self.shares.move_to_end(message.workspace)
        share.update_limit(limit)
        grant = share.acquire(message.begins_program, message.patience_seconds)
        return QuotaAnswered(grant.granted, grant.wait_seconds, grant.level)

    def create_share(self, workspace: str, limit: QuotaLimit) -> QuotaShare:
        """Return a new share of a workspace; evict another if there are too many."""
        share = QuotaShare(
            limit,
            self.tolerance,
            self.clock,
            self.started_at,
            is_restarted=self.is_restarted,
        )
        self.shares[workspace] = share
        if len(self.shares) > MAX_SHARES:
            self.shares.popitem(last=False)
            # Nothing is known any more of what the evicted share granted.
            self.started_at = self.clock.monotonic()
            self.is_restarted = True
        log.info(
            "Share of a workspace opened.",
            extra={
                "workspace": workspace,
                "level": round(share.bucket.level, 2),
                "server_age": round(self.clock.monotonic() - self.started_at, 3),
                "is_restarted": self.is_restarted,
            },
        )
        return share
