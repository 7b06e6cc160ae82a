"""Weighs a target's queue against computing the program's prefix again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarchute.clock import Clock
    from cedarchute.scheduling.placement import PlacementRequest
    from cedarchute.scheduling.target_state import TargetState

DEFAULT_PREFILL_RATE: Final = 20_000.0
DEFAULT_STEP_SECONDS: Final = 0.005
DISPLACING_FACTOR: Final = 2.0
NEAR_SECONDS: Final = 0.002
CANDIDATES: Final = 4


class ProgramAware:
    """Chooses the lowest expected delay, with waste counted as delay.

    Parameters
    ----------
    latency_weight : float
        With 1, a token computed again counts twice: once for its delay, once for
        the cached token that it displaces and that someone computes again. With
        0 it counts four times, so that a program stays with its cache for longer.
    """

    def __init__(self, latency_weight: float, clock: Clock) -> None:
        self.clock = clock
        self.waste_factor = DISPLACING_FACTOR + 2.0 * (1.0 - latency_weight)

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetState],
        random_source: random.Random,
    ) -> TargetState:
        """Return the best of the targets with cache and of some others by chance.

        Many boxes see the same late reports. Comparing only a few targets chosen
        by chance keeps them from all sending to the same one.
        """
        known = [t for t in targets if self.cached(request, t) > 0]
        others = [t for t in targets if self.cached(request, t) == 0]
        if len(others) > CANDIDATES:
            others = random_source.sample(others, CANDIDATES)
        return min(
            [*known, *others],
            key=lambda t: (self.cost(request, t), random_source.random()),
        )

    def cached(self, request: PlacementRequest, target: TargetState) -> int:
        """Return how much of the prompt the target is believed to have cached."""
        own = request.cached_tokens.get(target.name, 0)
        shared = request.prefix_tokens if request.prefix in target.prefixes else 0
        return min(max(own, shared), request.prompt_tokens)

    def cost(self, request: PlacementRequest, target: TargetState) -> float:
        """Return the expected seconds until the end of the answer, and waste."""
        report = target.report
        rate = report.prefill_tokens_per_second if report else DEFAULT_PREFILL_RATE
        step = report.step_seconds if report else DEFAULT_STEP_SECONDS
        slots = report.max_running if report else 16
        uncached = request.prompt_tokens - self.cached(request, target)
        prefill = self.waste_factor * uncached / rate
        queue = target.queued_tokens(self.clock.monotonic()) / rate
        excess = max(0, target.queued + 1 - slots)
        waiting = excess * step * request.max_tokens / slots
        far = target.section.failure_domain != request.failure_domain
        return prefill + queue + waiting + NEAR_SECONDS * far
