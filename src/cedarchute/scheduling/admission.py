"""Admission control for new programs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.problem import Problem
from cedarchute.scheduling.target_directory import is_draining

if TYPE_CHECKING:
    import random

    from cedarchute.metrics import Metrics
    from cedarchute.operators.configuration import Configuration
    from cedarchute.scheduling.target_directory import TargetDirectory

MIN_RETRY_AFTER_SECONDS: Final = 0.4
MAX_EXCESS: Final = 10.0
JITTER: Final = 1.0


class AdmissionController:
    """Rejects new programs while the engines' queues are too long.

    Programs that are already running are never rejected for load: their prompts
    are computed and cached, and finishing them is what reduces the load.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        configuration: Configuration,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self.directory = directory
        self.configuration = configuration
        self.random_source = random_source
        self.metrics = metrics

    def admit(self) -> None:
        """Admit one new program.

        Raises
        ------
        Problem
            ``overloaded`` when the backlog exceeds ``admit_backlog``. The
            Retry-After time grows with the excess and has random jitter.
        """
        site = self.configuration.site
        if site is None:
            return
        backlog = self.measure_backlog()
        excess = backlog - site.site.admit_backlog
        if excess <= 0:
            return
        self.metrics.count_refusal("overloaded")
        wait = MIN_RETRY_AFTER_SECONDS * (1.0 + min(excess, MAX_EXCESS))
        wait *= 1.0 + self.random_source.uniform(0, JITTER)
        raise Problem(
            "overloaded",
            f"The engines have {backlog:.1f} requests waiting for each slot.",
            status=503,
            retry_after=wait,
        )

    def measure_backlog(self) -> float:
        """Return the number of waiting requests per slot, over all known engines."""
        waiting = slots = 0
        for target in self.directory.targets.values():
            if target.report is None or is_draining(target):
                continue
            slots += target.report.max_running
            waiting += max(0, target.outstanding_requests - target.report.max_running)
        return waiting / slots if slots else 0.0
