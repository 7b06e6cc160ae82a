"""Follows a program to its home, and to its next home when that is lost."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.border.call_problems import make_home_lost_problem
from cedarchute.border.reroute_error import RerouteError
from cedarchute.copies.owned_partition import PartitionMovedError
from cedarchute.problem import Problem
from cedarchute.programs.program_registry import RECOVERING_CODE
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from werkzeug.wrappers import Response

    from cedarchute.border.call_exchange import CallExchange
    from cedarchute.border.home_locator import HomeLocator
    from cedarchute.clock import Clock
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.border")

REROUTE_SECONDS: Final = 0.1


class HomeFollower:
    """Asks the home of a program, here or on another box."""

    def __init__(self, locator: HomeLocator, clock: Clock, metrics: Metrics) -> None:
        self.locator = locator
        self.clock = clock
        self.metrics = metrics

    def follow(
        self,
        exchange: CallExchange,
        here: Callable[[], Response],
        there: Callable[[BoxRecord], Response],
    ) -> Response:
        """Ask the home, and look for it again while it is not found.

        A home that has just taken the program over is waited for where it is, also
        by a request that another box has passed on: a refusal would pass by itself,
        and callers would get it in the middle of a stream.

        Raises
        ------
        Problem
            ``home_lost`` at once when waiting has no point, or after the time
            that a takeover takes; ``recovering`` after that time.
        PartitionMovedError
            When another box has passed the request on to the wrong home.
        """
        partition = exchange.partition
        started = self.clock.monotonic()
        while True:
            location = self.locator.locate(partition)
            recovering = None
            try:
                if location.is_here:
                    return here()
                if exchange.is_forwarded:
                    raise PartitionMovedError(partition)
                if location.box is not None:
                    return there(location.box)
            except Problem as problem:
                if problem.code != RECOVERING_CODE:
                    raise
                recovering = problem
            except PartitionMovedError:
                if exchange.is_forwarded:
                    raise
            except RerouteError as error:
                log.info("Looking for %s again: %s.", exchange.program, error)
            if location.box is None and self.locator.is_unknown(partition):
                raise Problem(
                    "unknown_program",
                    f"Program {exchange.program} is not known (any more).",
                    status=404,
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            self.wait(exchange, started, recovering)

    def wait(
        self, exchange: CallExchange, started: float, recovering: Problem | None
    ) -> None:
        """Wait a moment before the home is asked again.

        Raises
        ------
        Problem
            When a request that came at `started` has waited for long enough:
            `recovering` if that is what its home says, else ``home_lost``.
        """
        patience = self.locator.patience
        if recovering is not None:
            patience = self.locator.takeover_patience
        waited = self.clock.monotonic() - started
        if waited >= min(patience, exchange.seconds):
            refusal = recovering or make_home_lost_problem()
            self.metrics.count_refusal(refusal.code)
            log.info("Refused %s after %.1f s: %s.", exchange.program, waited, refusal)
            raise refusal
        self.metrics.count_retry("home_lookup")
        eventlet.sleep(REROUTE_SECONDS)
