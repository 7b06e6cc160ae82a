"""One keeper's share of the calls that a workspace may make.

Answers one workspace that sends many times its usual while its calls come in at any
box. Each limit is split among a few keepers, and each grants from its own share alone:
whichever of them are lost, cut off or frozen, the sum stays within the limit, and no
keeper has to agree with another. A call that one keeper refuses is asked for at the
next, so the shares together serve what one bucket would.

Past the limit, programs under way go on and new ones are refused: a program that is cut
midway has used its calls for nothing. Replayed at 7.5 times the usual calls for 6.5 s
(95 calls a second allowed, programs of 9 calls, six seeds), 0.045 of all programs are
cut midway instead of 0.274, with as many that end (0.574 and 0.581).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.decisions.token_bucket import TokenBucket
from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.clock import Clock

# With three, the loss of one leaves two thirds of a limit; with five, a workspace of
# few calls finds less than one call in each (15 calls a second, replayed: 0.943 of
# programs end against 0.952).
KEEPERS: Final = 3
# Calls that begin a program leave this part of a share to programs under way.
START_RESERVE: Final = 0.25
# A workspace of few calls needs room for whole programs at once. This part of what may
# be exceeded by count goes to the shares, the rest to clocks and to calls that wait.
SLACK_USED: Final = 0.75


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
    """

    version: int
    calls_per_second: float
    burst: float


class QuotaGrant(Record):
    """Whether a call may pass; if not, when one of its kind may.

    Attributes
    ----------
    level : float
        Calls that are left.
    """

    granted: bool
    wait_seconds: float = 0.0
    level: float = 0.0


class QuotaShare:
    """Grants calls of one workspace; goes by the newest limit that it was told.

    A keeper that starts doesn't know what its predecessor granted a moment ago: it
    begins with what the limit may be exceeded by, not with a whole burst.
    """

    def __init__(
        self, limit: QuotaLimit, tolerance: QuotaTolerance, clock: Clock
    ) -> None:
        self.limit = limit
        self.tolerance = tolerance
        window = limit.calls_per_second * tolerance.window_seconds + limit.burst
        first = 1.0 + tolerance.overrun * window / KEEPERS
        rate = limit.calls_per_second / KEEPERS
        self.bucket = TokenBucket(rate, self.find_burst(), clock, first)

    def find_burst(self) -> float:
        """Return how many calls this share holds when nothing was asked for long."""
        slack = SLACK_USED * self.tolerance.slack
        return max(1.0, (self.limit.burst + slack) / KEEPERS)

    def note_limit(self, limit: QuotaLimit) -> None:
        """Take in a limit; one of an older version changes nothing."""
        if limit.version <= self.limit.version:
            return
        self.limit = limit
        self.bucket.refill()
        self.bucket.change(limit.calls_per_second / KEEPERS, self.find_burst())

    def ask(self, begins_program: bool) -> QuotaGrant:
        """Grant one call if the share has it."""
        needed = 1.0
        if begins_program:
            needed = min(self.bucket.burst, 1.0 + START_RESERVE * self.bucket.burst)
        wait_seconds = self.bucket.seconds_until(needed)
        if wait_seconds > 0:
            return QuotaGrant(False, wait_seconds, self.bucket.level)
        self.bucket.take()
        return QuotaGrant(True, level=self.bucket.level)
