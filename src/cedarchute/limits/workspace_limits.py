"""The limits of workspaces, shared out to the boxes without asking for a request."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.decisions.token_bucket import TokenBucket
from cedarchute.limits.borrow import BorrowRequest
from cedarchute.limits.loan import Loan
from cedarchute.limits.shares import BURST_SECONDS, EVEN_SHARE, LEAST_BURST
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

SPREAD_SECONDS: Final = 1.0
LEAST_BORROWED: Final = 5
LOW_CALLS: Final = 2
# What a workspace used here in this time is asked for; it is lost after the other.
NEED_SECONDS: Final = 10.0
LOAN_SECONDS: Final = 30.0
ASK_AGAIN_SECONDS: Final = 0.5


class WorkspaceLimits:
    """Gives each workspace this box's slice of its rate, and what it borrows.

    A share of the rate is divided evenly among the live boxes. The rest is kept by
    one box, by the ring, and lent in bulk: a box asks before its calls run out, in
    a task beside the requests, so no request ever waits for another box.

    Parameters
    ----------
    borrow : callable
        Asks the keeper of a workspace; raises `PeerError` when it is silent.
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
        """Return what operators declared for `workspace`.

        Raises
        ------
        Problem
            ``unknown_workspace`` when nothing is declared.
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
        """Take one call from what this box has of `workspace`; never waits.

        Raises
        ------
        Problem
            ``workspace_limit`` with a time to come back that is spread by chance.
        """
        section = self.find_section(workspace)
        bucket = self.find_bucket(workspace, section)
        loan = self.loans.setdefault(workspace, Loan())
        loan.used_since += 1
        now = self.clock.monotonic()
        is_admitted = bucket.take() or loan.take(now)
        if bucket.level + loan.calls < LOW_CALLS:
            self.ask_soon(workspace, loan, now)
        if is_admitted:
            return
        self.metrics.count_refusal("workspace_limit")
        wait = min(bucket.seconds_until(), ASK_AGAIN_SECONDS)
        wait += self.random_source.uniform(0, SPREAD_SECONDS)
        raise Problem(
            "workspace_limit",
            f"Workspace {workspace} is over its calls a second.",
            status=429,
            retry_after=wait,
        )

    def ask_soon(self, workspace: str, loan: Loan, now: float) -> None:
        """Ask the keeper in a task of its own, not more often than is of use."""
        if loan.is_asking or now - loan.asked_at < ASK_AGAIN_SECONDS:
            return
        passed = min(max(now - loan.asked_at, 1.0), NEED_SECONDS)
        wanted = max(LEAST_BORROWED, int(loan.used_since / passed * NEED_SECONDS))
        loan.is_asking = True
        loan.asked_at = now
        loan.used_since = 0
        eventlet.spawn_n(self.ask, workspace, loan, wanted)

    def ask(self, workspace: str, loan: Loan, wanted: int) -> None:
        """Borrow calls from the keeper of a workspace."""
        try:
            reply = self.borrow(BorrowRequest(workspace=workspace, calls=wanted))
        except PeerError as error:
            self.metrics.count("limits.borrow_failed")
            log.info("Nothing borrowed for %s: %s.", workspace, error)
            return
        finally:
            loan.is_asking = False
        now = self.clock.monotonic()
        left = loan.calls if now < loan.ends_at else 0
        loan.calls = left + reply.calls
        loan.ends_at = now + LOAN_SECONDS
        self.metrics.count("limits.borrowed", reply.calls)

    def find_bucket(self, workspace: str, section: WorkspaceSection) -> TokenBucket:
        """Return the bucket of `workspace` at the rate of its slice now."""
        rate = section.calls_per_second * EVEN_SHARE / max(1, self.count_boxes())
        burst = max(LEAST_BURST, rate * BURST_SECONDS)
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = self.buckets[workspace] = TokenBucket(rate, burst, self.clock)
        bucket.change(rate, burst)
        return bucket

    def on_configuration(self, accepted: AcceptedFile) -> None:
        """Forget the workspaces that a new file no longer declares."""
        known = accepted.site.workspaces
        self.buckets = {n: b for n, b in self.buckets.items() if n in known}
        self.loans = {n: loan for n, loan in self.loans.items() if n in known}
