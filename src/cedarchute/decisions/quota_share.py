"""One quota server's share of the calls that a workspace may make.

The calls of a workspace arrive at any box. Its limit is split among a few quota
servers, each of which grants calls from its own share alone: the sum stays within the
limit whichever of them fail or are partitioned, and they need no consensus. A call that
one server rejects is requested from the next, so the shares act like one token bucket.

Over the limit, calls of programs under way wait briefly for the next token, and new
programs are rejected: a program that is cut off midway has wasted its calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.decisions.token_bucket import TokenBucket
from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.clock import Clock

# Losing one of three leaves two thirds of a limit; with more, the share of a small
# workspace would be less than one call.
KEEPERS: Final = 3
# Fraction of a share that is reserved for programs under way; with more, programs are
# rejected at their start below the limit.
START_RESERVE: Final = 0.15
# Longest wait of a call of a running program for a token, short relative to the soft
# deadline: a program lasts for seconds, and its caller waits for a tool once.
MAX_WAIT_SECONDS: Final = 1.0
# Fractions of the tolerance by which limits are raised, since a small workspace needs
# room for whole programs at once. The rest covers servers on new disks and calls that
# are delayed between grant and target.
OVERRUN_RATE_FRACTION: Final = 0.5
SLACK_RATE_FRACTION: Final = 0.5
SLACK_BURST_FRACTION: Final = 0.4
# Fraction of that rest with which a server on a new disk begins.
INITIAL_FRACTION: Final = 0.8


class QuotaTolerance(Record):
    """How far operators allow a limit to be exceeded.

    Attributes
    ----------
    window_seconds : float
        Length of the window within which calls are counted.
    overrun : float
        Fraction of a limit by which a window may exceed it.
    slack : float
        Calls by which a window may exceed that.
    """

    window_seconds: float = 5.0
    overrun: float = 0.0
    slack: float = 0.0


class QuotaLimit(Record):
    """Limit of a workspace across all boxes, from one version of the configuration.

    Attributes
    ----------
    calls_per_second : float
        Long-term rate.
    burst : float
        Calls at once beyond the rate.
    keepers : int
        Number of quota servers among which it is split; lower where few boxes are
        available.
    """

    version: int
    calls_per_second: float
    burst: float
    keepers: int = KEEPERS


class QuotaGrant(Record):
    """Answer to the request for a call.

    Attributes
    ----------
    wait_seconds : float
        Delay after which a granted call may be sent; for a rejected one, until a call
        of its kind would be granted.
    level : float
        Tokens left.
    refuses_program : bool
        Whether the limit does not hold the whole program that the call begins.
    """

    granted: bool
    wait_seconds: float = 0.0
    level: float = 0.0
    refuses_program: bool = False


class QuotaShare:
    """Grants calls of one workspace by the newest limit that it has received.

    A restarted server doesn't know what its predecessor granted. It assumes the most:
    an empty bucket, and all tokens of the next `MAX_WAIT_SECONDS` reserved. A server on
    a new disk begins with the unused part of the tolerance.

    Parameters
    ----------
    server_started_at : float
        Time by `clock` at which the server started; it has granted no calls before.
    is_restarted : bool
        Whether an earlier process has served from the same disk.
    """

    def __init__(
        self,
        limit: QuotaLimit,
        tolerance: QuotaTolerance,
        clock: Clock,
        server_started_at: float,
        *,
        is_restarted: bool = False,
    ) -> None:
        self.limit = limit
        self.tolerance = tolerance
        rate = self.find_rate()
        since_start = max(0.0, clock.monotonic() - server_started_at)
        initial_level = self.find_initial_level()
        if is_restarted:
            initial_level = -rate * MAX_WAIT_SECONDS
        level = initial_level + rate * since_start
        self.bucket = TokenBucket(rate, self.find_burst(), clock, level)

    def find_rate(self) -> float:
        """Return the calls per second of this share."""
        tolerance = self.tolerance
        stretch = 1.0 + OVERRUN_RATE_FRACTION * tolerance.overrun
        rate = self.limit.calls_per_second * stretch
        slack_rate = SLACK_RATE_FRACTION * tolerance.slack / tolerance.window_seconds
        return (rate + slack_rate) / self.limit.keepers

    def find_burst(self) -> float:
        """Return the capacity of this share's bucket."""
        slack = SLACK_BURST_FRACTION * self.tolerance.slack
        return max(1.0, (self.limit.burst + slack) / self.limit.keepers)

    def find_initial_level(self) -> float:
        """Return the part of the tolerance that rate and burst leave unused."""
        tolerance = self.tolerance
        rate_left = (1.0 - OVERRUN_RATE_FRACTION) * self.limit.calls_per_second
        overrun = rate_left * tolerance.window_seconds + self.limit.burst
        slack = (1.0 - SLACK_RATE_FRACTION - SLACK_BURST_FRACTION) * tolerance.slack
        unused = tolerance.overrun * overrun + slack
        return max(1.0, INITIAL_FRACTION * unused / self.limit.keepers)

    def update_limit(self, limit: QuotaLimit) -> None:
        """Apply a limit, unless its version is older."""
        if limit.version < self.limit.version or limit == self.limit:
            return
        self.limit = limit
        self.bucket.refill()
        self.bucket.set_rate(self.find_rate(), self.find_burst())

    def acquire(
        self, begins_program: bool, caller_timeout_seconds: float = 0.0
    ) -> QuotaGrant:
        """Grant one call if a token is available, or will be soon enough.

        Parameters
        ----------
        caller_timeout_seconds : float
            How long the call may wait; ignored for a call that begins a program.
        """
        needed = 1.0
        if begins_program:
            needed = min(self.bucket.burst, 1.0 + START_RESERVE * self.bucket.burst)
        wait_seconds = self.bucket.seconds_until(needed)
        caller_timeout_seconds = min(caller_timeout_seconds, MAX_WAIT_SECONDS)
        if wait_seconds > (0.0 if begins_program else caller_timeout_seconds):
            return QuotaGrant(False, wait_seconds, self.bucket.level)
        self.bucket.reserve()
        return QuotaGrant(True, wait_seconds, self.bucket.level)
