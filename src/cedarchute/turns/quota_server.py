"""Grants calls from this box's in-memory shares of workspace limits."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from cedarchute.decisions.program_kinds import ProgramKinds
from cedarchute.decisions.program_ledger import ProgramLedger
from cedarchute.decisions.program_turn import ProgramTurn
from cedarchute.decisions.program_verdict import ProgramVerdict
from cedarchute.decisions.quota_share import QuotaLimit, QuotaShare
from cedarchute.turns.messages import (
    AskProgramQuota,
    ProgramQuotaAnswered,
    QuotaAnswered,
)

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.decisions.ledger_decision import LedgerDecision
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
        self.kinds = ProgramKinds()
        self.ledgers: dict[str, ProgramLedger] = {}

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
        if isinstance(message, AskProgramQuota):
            turn = read_turn(message)
            if turn.is_valid:
                return self.ask_ledger(message, share, turn)
        grant = share.acquire(message.begins_program, message.patience_seconds)
        return QuotaAnswered(grant.granted, grant.wait_seconds, grant.level)

    def ask_ledger(
        self, message: AskProgramQuota, share: QuotaShare, turn: ProgramTurn
    ) -> ProgramQuotaAnswered:
        """Grant a turn if its program is under way or fits as a whole."""
        ledger = self.ledgers.get(message.workspace)
        if ledger is None:
            ledger = ProgramLedger(self.kinds, self.clock)
            self.ledgers[message.workspace] = ledger
        share.bucket.refill()
        shares = share.limit.keepers
        if 0 < message.reachable < shares:
            shares = message.reachable
        bucket = share.bucket
        decision = ledger.decide(
            turn, bucket.level * shares, bucket.rate * shares, bucket.burst * shares
        )
        if decision.is_new:
            log_decision(message.workspace, turn, decision)
        if decision.verdict is ProgramVerdict.REFUSED:
            return ProgramQuotaAnswered(
                False,
                decision.wait_seconds,
                share.bucket.level,
                verdict=decision.verdict,
            )
        grant = share.acquire(False, message.patience_seconds)
        return ProgramQuotaAnswered(
            grant.granted, grant.wait_seconds, grant.level, verdict=decision.verdict
        )

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
            evicted, _ = self.shares.popitem(last=False)
            self.ledgers.pop(evicted, None)
            # Nothing is known any more of what the evicted share granted.
            self.started_at = self.clock.monotonic()
            self.is_restarted = True
        log.info(
            "Share of a workspace opened.",
            extra={
                "workspace": workspace,
                "tokens_left": round(share.bucket.level, 2),
                "server_age": round(self.clock.monotonic() - self.started_at, 3),
                "is_restarted": self.is_restarted,
            },
        )
        return share


def read_turn(message: AskProgramQuota) -> ProgramTurn:
    """Return the turn that a request is about."""
    return ProgramTurn(
        message.program,
        message.kind,
        message.calls_per_turn,
        message.begins_program,
        message.seconds_left,
    )


def log_decision(workspace: str, turn: ProgramTurn, decision: LedgerDecision) -> None:
    """Log whether a new program is admitted, with the inputs."""
    is_refused = decision.verdict is ProgramVerdict.REFUSED
    log.info(
        "Program refused as a whole." if is_refused else "Program admitted as a whole.",
        extra={
            "workspace": workspace,
            "program": turn.program,
            "kind": turn.kind,
            "calls_per_turn": round(turn.calls_per_turn, 2),
            "tokens": round(decision.tokens, 2),
            "needed": round(decision.needed, 2),
            "promised": round(decision.promised, 2),
            "calls": round(decision.calls, 2),
            "under_way": decision.under_way,
            "retry_after": round(decision.wait_seconds, 2),
        },
    )
