"""Sends requests to the owner of a program, also while the owner changes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.border.call_problems import make_owner_lost_problem
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

LOOKUP_RETRY_SECONDS: Final = 0.1


class HomeFollower:
    """Sends a request to the owner of a program, this box or another one."""

    def __init__(self, locator: HomeLocator, clock: Clock, metrics: Metrics) -> None:
        self.locator = locator
        self.clock = clock
        self.metrics = metrics

    def follow(
        self,
        exchange: CallExchange,
        handle_locally: Callable[[], Response],
        forward_to: Callable[[BoxRecord], Response],
    ) -> Response:
        """Send a request to the owner; retry until it responds or time runs out.

        An owner that is still recovering a program that it took over is retried, also
        for a request that another box forwarded: otherwise callers would receive a
        transient problem in the middle of a stream.

        Parameters
        ----------
        handle_locally : callable
            Serves the request if this box is the owner.
        forward_to : callable
            Forwards the request to the owner.

        Raises
        ------
        Problem
            ``home_lost`` when the owner was not found within the time that a takeover
            takes, or at once while the store is unavailable; ``recovering`` when
            the owner has not recovered within that time; ``unknown_program``.
        PartitionMovedError
            When another box forwarded the request and this box is not the owner.
        """
        partition = exchange.partition
        started = self.clock.monotonic()
        while True:
            location = self.locator.locate(partition)
            recovering = None
            try:
                if location.is_local:
                    return handle_locally()
                if exchange.is_forwarded:
                    raise PartitionMovedError(partition)
                if location.box is not None:
                    return forward_to(location.box)
            except Problem as problem:
                if problem.code != RECOVERING_CODE:
                    raise
                recovering = problem
            except PartitionMovedError:
                if exchange.is_forwarded:
                    raise
            except RerouteError as error:
                log.info("Locating the owner of %s again: %s.", exchange.program, error)
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
        """Sleep before the next attempt, unless the request has timed out.

        Raises
        ------
        Problem
            When the request, received at `started`, has waited for its maximum time:
            `recovering` if the owner reported that, otherwise ``home_lost``.
        """
        max_wait_seconds = self.locator.owner_wait_seconds
        if recovering is not None:
            max_wait_seconds = self.locator.takeover_wait_seconds
        waited = self.clock.monotonic() - started
        if waited >= min(max_wait_seconds, exchange.seconds):
            problem = recovering or make_owner_lost_problem()
            self.metrics.count_refusal(problem.code)
            log.info("Rejected %s after %.1f s: %s.", exchange.program, waited, problem)
            raise problem
        self.metrics.count_retry("home_lookup")
        eventlet.sleep(LOOKUP_RETRY_SECONDS)
