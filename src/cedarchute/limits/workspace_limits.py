"""Enforces the rate limits of workspaces without a remote call per request."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.decisions.token_bucket import TokenBucket
from cedarchute.limits.borrow import BorrowRequest
from cedarchute.limits.loan import Loan
from cedarchute.limits.rate_split import BURST_SECONDS, MIN_BURST, STATIC_SHARE
from cedarchute.peers.peer_client import PeerError
from cedarchute.problem import Problem

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cedarchute.clock import Clock
    from cedarchute.limits.borrow import BorrowReply
    from cedarchute.metrics import Metrics
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.operators.configuration import Configuration
    from cedarchute.operators.site_file import WorkspaceSection

log = logging.getLogger("cedarchute.limits")

RETRY_JITTER_SECONDS: Final = 1.0
MIN_BORROWED_CALLS: Final = 5
LOW_WATERMARK: Final = 2
# A box borrows as many calls as a workspace used in this window.
DEMAND_WINDOW_SECONDS: Final = 10.0
LOAN_LIFETIME_SECONDS: Final = 30.0
MIN_BORROW_INTERVAL_SECONDS: Final = 0.5


class WorkspaceLimits:
    """Admits calls by this box's part of each workspace's rate and by borrowed calls.

    A share of the rate is split evenly among the live boxes. The rest belongs to one
    box, by the ring, which lends it in batches: a box borrows in a background task
    before its calls run out, so that no request waits for another box.

    Parameters
    ----------
    borrow : callable
        Sends a request to the owner; raises `PeerError` if it does not answer.
    """

    def __init__(
        self,
        configuration: Configuration,
        count_boxes: Callable[[], int],
        borrow: Callable[[BorrowRequest], BorrowReply],
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self.configuration = configuration
        self.count_boxes = count_boxes
        self.borrow = borrow
        self.clock = clock
        self.random_source = random_source
        self.metrics = metrics
        self.buckets: dict[str, TokenBucket] = {}
        self.loans: dict[str, Loan] = {}

    def find_section(self, workspace: str) -> WorkspaceSection:
        """Return the section of `workspace` in the configuration file.

        Raises
        ------
        Problem
            ``unknown_workspace`` when it has none.
        """
        site = self.configuration.site
        section = site.workspaces.get(workspace) if site else None
        if section is None:
            self.metrics.count_refusal("unknown_workspace")
            raise Problem(
                "unknown_workspace",
                f"No [workspace {workspace}] in the accepted file; ask the operators.",
                status=404,
            )
        return section

    def admit(self, workspace: str) -> None:
        """Take one call of `workspace` from this box's bucket or loan; never blocks.

        Raises
        ------
        Problem
            ``workspace_limit`` with a retry delay that includes jitter.
        """
        section = self.find_section(workspace)
        bucket = self.find_bucket(workspace, section)
        loan = self.loans.setdefault(workspace, Loan())
        loan.calls_since_request += 1
        now = self.clock.monotonic()
        is_admitted = bucket.take() or loan.take(now)
        if bucket.level + loan.calls < LOW_WATERMARK:
            self.borrow_in_background(workspace, loan, now)
        if is_admitted:
            return
        self.metrics.count_refusal("workspace_limit")
        wait = min(bucket.seconds_until(), MIN_BORROW_INTERVAL_SECONDS)
        wait += self.random_source.uniform(0, RETRY_JITTER_SECONDS)
        raise Problem(
            "workspace_limit",
            f"Workspace {workspace} is over its calls a second.",
            status=429,
            retry_after=wait,
        )

    def borrow_in_background(self, workspace: str, loan: Loan, now: float) -> None:
        """Borrow in a background task, unless a request is in flight or too recent."""
        if (
            loan.is_request_pending
            or now - loan.requested_at < MIN_BORROW_INTERVAL_SECONDS
        ):
            return
        elapsed_seconds = min(max(now - loan.requested_at, 1.0), DEMAND_WINDOW_SECONDS)
        requested_calls = max(
            MIN_BORROWED_CALLS,
            int(loan.calls_since_request / elapsed_seconds * DEMAND_WINDOW_SECONDS),
        )
        loan.is_request_pending = True
        loan.requested_at = now
        loan.calls_since_request = 0
        eventlet.spawn_n(self.borrow_calls, workspace, loan, requested_calls)

    def borrow_calls(self, workspace: str, loan: Loan, requested_calls: int) -> None:
        """Borrow calls from the owner of a workspace and add them to the loan."""
        try:
            reply = self.borrow(
                BorrowRequest(workspace=workspace, calls=requested_calls)
            )
        except PeerError as error:
            self.metrics.count("limits.borrow_failed")
            log.info("Cannot borrow calls of workspace %s: %s.", workspace, error)
            return
        finally:
            loan.is_request_pending = False
        now = self.clock.monotonic()
        left = loan.calls if now < loan.expires_at else 0
        loan.calls = left + reply.calls
        loan.expires_at = now + LOAN_LIFETIME_SECONDS
        self.metrics.count("limits.borrowed", reply.calls)

    def find_bucket(self, workspace: str, section: WorkspaceSection) -> TokenBucket:
        """Return the bucket of `workspace`, updated to this box's current rate."""
        rate = section.calls_per_second * STATIC_SHARE / max(1, self.count_boxes())
        burst = max(MIN_BURST, rate * BURST_SECONDS)
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = self.buckets[workspace] = TokenBucket(rate, burst, self.clock)
        bucket.set_rate(rate, burst)
        return bucket

    def on_configuration(self, accepted: AcceptedFile) -> None:
        """Remove workspaces that a new configuration file no longer declares."""
        declared = accepted.site.workspaces
        self.buckets = {n: b for n, b in self.buckets.items() if n in declared}
        self.loans = {n: loan for n, loan in self.loans.items() if n in declared}
