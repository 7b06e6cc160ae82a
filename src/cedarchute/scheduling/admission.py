"""Lets new programs in, or refuses them at once with a time to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.problem import Problem
from cedarchute.scheduling.target_directory import is_draining

if TYPE_CHECKING:
    import random

    from cedarchute.metrics import Metrics
    from cedarchute.operators.configuration import Configuration
    from cedarchute.scheduling.target_directory import TargetDirectory

LEAST_WAIT_SECONDS: Final = 0.4
MOST_EXCESS: Final = 10.0
SPREAD: Final = 1.0


class AdmissionController:
    """Refuses new programs while the engines' queues are long.

    Programs under way are never refused for load: their history and cache are
    paid for already, and finishing them is what brings the load down. So an
    overload costs newcomers a wait and nobody what was done for them.
    """

    def __init__(
        self,
        book: TargetDirectory,
        configuration: Configuration,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self.book = book
        self.configuration = configuration
        self.random_source = random_source
        self.metrics = metrics

    def admit(self) -> None:
        """Let one new program in.

        Raises
        ------
        Problem
            ``overloaded`` when the queue is longer than operators allow; the time
            to come back grows with it and is spread by chance.
        """
        site = self.configuration.site
        if site is None:
            return
        backlog = self.measure_backlog()
        excess = backlog - site.site.admit_backlog
        if excess <= 0:
            return
        self.metrics.count_refusal("overloaded")
        wait = LEAST_WAIT_SECONDS * (1.0 + min(excess, MOST_EXCESS))
        wait *= 1.0 + self.random_source.uniform(0, SPREAD)
        raise Problem(
            "overloaded",
            f"The engines have {backlog:.1f} requests waiting for each slot.",
            status=503,
            retry_after=wait,
        )

    def measure_backlog(self) -> float:
        """Return how many requests wait for each slot of the known engines."""
        waiting = slots = 0
        for target in self.book.targets.values():
            if target.report is None or is_draining(target):
                continue
            slots += target.report.max_running
            waiting += max(0, target.queued - target.report.max_running)
        return waiting / slots if slots else 0.0
