"""Lends calls of the workspaces that this box keeps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.decisions.token_bucket import TokenBucket
from cedarchute.limits.borrow import BorrowReply
from cedarchute.limits.shares import BURST_SECONDS, EVEN_SHARE

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.limits.borrow import BorrowRequest
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.operators.configuration import Configuration


class LimitLender:
    """Lends the part of each rate that is not dealt out evenly.

    Boxes that ask the wrong keeper for a while, when boxes come and go, get no more
    than that part from each of two; a keeper that is lost costs them that part until
    the ring names another, and nobody an agreement.
    """

    def __init__(self, configuration: Configuration, clock: Clock) -> None:
        self.configuration = configuration
        self.clock = clock
        self.buckets: dict[str, TokenBucket] = {}

    def handle_borrow(self, request: BorrowRequest) -> BorrowReply:
        """Lend as many of the calls asked for as there are."""
        site = self.configuration.site
        section = site.workspaces.get(request.workspace) if site else None
        if section is None:
            return BorrowReply(calls=0)
        rate = section.calls_per_second * (1.0 - EVEN_SHARE)
        burst = max(1.0, rate * BURST_SECONDS)
        bucket = self.buckets.get(request.workspace)
        if bucket is None:
            bucket = TokenBucket(rate, burst, self.clock)
            self.buckets[request.workspace] = bucket
        bucket.change(rate, burst)
        return BorrowReply(calls=bucket.take_most(request.calls))

    def on_configuration(self, accepted: AcceptedFile) -> None:
        """Forget the workspaces that a new file no longer declares."""
        known = accepted.site.workspaces
        self.buckets = {n: b for n, b in self.buckets.items() if n in known}
