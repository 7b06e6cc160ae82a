"""Server side of borrowing: lends calls of the workspaces that this box owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.decisions.token_bucket import TokenBucket
from cedarchute.limits.borrow import BorrowReply
from cedarchute.limits.rate_split import BURST_SECONDS, STATIC_SHARE

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.limits.borrow import BorrowRequest
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.operators.configuration import Configuration


class LimitLender:
    """Lends the part of each rate that is not split statically among the boxes.

    Needs no consensus on the owner: while the ring changes, two owners may lend that
    part each, and while an owner is lost, nobody lends it.
    """

    def __init__(self, configuration: Configuration, clock: Clock) -> None:
        self.configuration = configuration
        self.clock = clock
        self.buckets: dict[str, TokenBucket] = {}

    def handle_borrow(self, request: BorrowRequest) -> BorrowReply:
        """Lend the requested calls as far as tokens are available."""
        site = self.configuration.site
        section = site.workspaces.get(request.workspace) if site else None
        if section is None:
            return BorrowReply(calls=0)
        rate = section.calls_per_second * (1.0 - STATIC_SHARE)
        burst = max(1.0, rate * BURST_SECONDS)
        bucket = self.buckets.get(request.workspace)
        if bucket is None:
            bucket = TokenBucket(rate, burst, self.clock)
            self.buckets[request.workspace] = bucket
        bucket.set_rate(rate, burst)
        return BorrowReply(calls=bucket.take_up_to(request.calls))

    def on_configuration(self, accepted: AcceptedFile) -> None:
        """Remove workspaces that a new configuration file no longer declares."""
        declared = accepted.site.workspaces
        self.buckets = {n: b for n, b in self.buckets.items() if n in declared}
