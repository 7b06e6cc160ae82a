"""One keeper's share of the calls that a workspace may make.

Answers one workspace that sends many times its usual while its calls come in at any
box. Each limit is split among a few keepers, and each grants from its own share alone:
whichever of them are lost, cut off or frozen, the sum stays within the limit, and no
keeper has to agree with another. A call that one keeper refuses is asked for at the
next, so the shares together serve what one bucket would.

Past the limit, calls of programs under way wait a moment for the next free one, and
new programs are refused: a program that is cut midway has used its calls for nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.decisions.token_bucket import TokenBucket
from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.clock import Clock

# With three, the loss of one leaves two thirds of a limit; with more, a workspace of
# few calls finds less than one call in each.
KEEPERS: Final = 3
# Calls that begin a program leave this part of a share to programs under way. More of
# it refuses more starts below the limit.
START_RESERVE: Final = 0.15
# Calls of programs under way wait for a free one at the most so long: a program has
# seconds in all, and its caller waits for a tool once.
MAX_WAIT_SECONDS: Final = 1.0
# A workspace of few calls needs room for whole programs at once, so limits are
# stretched by nearly all that they may be exceeded by. The
# rest is left to keepers that begin anew and to calls that wait before their target.
OVERRUN_RATE_SHARE: Final = 0.5
SLACK_RATE_SHARE: Final = 0.5
SLACK_BURST_SHARE: Final = 0.4
# Of what is left, the part that a keeper begins with; calls that were promised by the
# one before may still be on their way.
FIRST_SHARE: Final = 0.8


class QuotaTolerance(Record):
    """By how much operators let a limit be exceeded.

    Attributes
    ----------
    window_seconds : float
        The span within which calls are counted.
    overrun : float
        The part of a limit by which that span may exceed it.
    slack : float
        Calls in that span beyond this.
    """

    window_seconds: float = 5.0
    overrun: float = 0.0
    slack: float = 0.0


class QuotaLimit(Record):
    """What all boxes together let a workspace do, by one version of the configuration.

    Attributes
    ----------
    calls_per_second : float
        In the long run.
    burst : float
        Calls at once beyond that.
    keepers : int
        Among how many it is split; where fewer boxes can keep shares than usual, fewer.
    """

    version: int
    calls_per_second: float
    burst: float
    keepers: int = KEEPERS


class QuotaGrant(Record):
    """Whether a call may pass.

    Attributes
    ----------
    wait_seconds : float
        After how long it may; if it may not, when another of its kind may.
    level : float
        Calls that are left.
    """

    granted: bool
    wait_seconds: float = 0.0
    level: float = 0.0


class QuotaShare:
    """Grants calls of one workspace; goes by the newest limit that it was told.

    A keeper that starts doesn't know what its predecessor granted a moment ago: it
    begins with what its limit is not stretched by, and not with a whole burst.

    Parameters
    ----------
    keeper_started_at : float
        When the keeper started, by `clock`; since then nobody was granted anything.
    """

    def __init__(
        self,
        limit: QuotaLimit,
        tolerance: QuotaTolerance,
        clock: Clock,
        keeper_started_at: float,
    ) -> None:
        self.limit = limit
        self.tolerance = tolerance
        rate = self.find_rate()
        since_start = max(0.0, clock.monotonic() - keeper_started_at)
        level = self.find_first_level() + rate * since_start
        self.bucket = TokenBucket(rate, self.find_burst(), clock, level)

    def find_rate(self) -> float:
        """Return how many calls a second come to this share."""
        tolerance = self.tolerance
        stretch = 1.0 + OVERRUN_RATE_SHARE * tolerance.overrun
        rate = self.limit.calls_per_second * stretch
        slack_rate = SLACK_RATE_SHARE * tolerance.slack / tolerance.window_seconds
        return (rate + slack_rate) / self.limit.keepers

    def find_burst(self) -> float:
        """Return how many calls this share holds when nothing was asked for long."""
        slack = SLACK_BURST_SHARE * self.tolerance.slack
        return max(1.0, (self.limit.burst + slack) / self.limit.keepers)

    def find_first_level(self) -> float:
        """Return what the span of counting leaves beyond rate and burst."""
        tolerance = self.tolerance
        rate_left = (1.0 - OVERRUN_RATE_SHARE) * self.limit.calls_per_second
        overrun = rate_left * tolerance.window_seconds + self.limit.burst
        slack = (1.0 - SLACK_RATE_SHARE - SLACK_BURST_SHARE) * tolerance.slack
        left = tolerance.overrun * overrun + slack
        return max(1.0, FIRST_SHARE * left / self.limit.keepers)

    def update_limit(self, limit: QuotaLimit) -> None:
        """Take in a limit; one of an older version changes nothing."""
        if limit.version < self.limit.version or limit == self.limit:
            return
        self.limit = limit
        self.bucket.refill()
        self.bucket.change(self.find_rate(), self.find_burst())

    def acquire(
        self, begins_program: bool, patience_seconds: float = 0.0
    ) -> QuotaGrant:
        """Grant one call if the share has it, or has it soon enough.

        Parameters
        ----------
        patience_seconds : float
            How long the call may wait; one that begins a program does not.
        """
        needed = 1.0
        if begins_program:
            needed = min(self.bucket.burst, 1.0 + START_RESERVE * self.bucket.burst)
        wait_seconds = self.bucket.seconds_until(needed)
        patience_seconds = min(patience_seconds, MAX_WAIT_SECONDS)
        if wait_seconds > (0.0 if begins_program else patience_seconds):
            return QuotaGrant(False, wait_seconds, self.bucket.level)
        self.bucket.take_ahead()
        return QuotaGrant(True, wait_seconds, self.bucket.level)
