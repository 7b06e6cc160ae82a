"""Placement by expected delay: queueing against recomputation of cached tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarchute.clock import Clock
    from cedarchute.scheduling.placement import PlacementRequest
    from cedarchute.scheduling.prefix_index import PrefixIndex
    from cedarchute.scheduling.target_state import TargetState

DEFAULT_PREFILL_RATE: Final = 20_000.0
DEFAULT_STEP_SECONDS: Final = 0.005
DEFAULT_SLOTS: Final = 16
# Cost of a computed token: it delays its own call and evicts a cached token.
EVICTION_FACTOR: Final = 2.0
# Additional cost of a computed token for each waiting request per slot.
BACKLOG_FACTOR: Final = 3.0
# Round trip to another failure domain.
CROSS_DOMAIN_RTT_SECONDS: Final = 0.002
# Number of targets without cache that are sampled.
MAX_UNCACHED_CANDIDATES: Final = 4
# Assumed number of later calls of a new program.
EXPECTED_LATER_CALLS: Final = 4.0
MIN_TRANSFER_TOKENS: Final = 64
# Fixed cost of a cache export and import, without the time per token.
TRANSFER_OVERHEAD_SECONDS: Final = 0.05
# Cap on the requests per slot in the estimate of later delays.
MAX_OCCUPANCY: Final = 2.0


class ProgramAware:
    """Chooses the target with the lowest expected delay, recomputation included.

    Parameters
    ----------
    latency_weight : float
        Weight of latency against recomputation, from 0 to 1. With 1, a recomputed
        token counts twice: for its own delay and for the cached token that it
        evicts. With 0 it counts four times, so that programs stay with their cache
        longer. It counts more while requests wait for slots, since it delays them.
    """

    def __init__(self, latency_weight: float, index: PrefixIndex, clock: Clock) -> None:
        self.index = index
        self.clock = clock
        self.waste_factor = EVICTION_FACTOR + 2.0 * (1.0 - latency_weight)

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetState],
        random_source: random.Random,
    ) -> TargetState:
        """Return the cheapest of the targets with cache and a sample of the others.

        Many boxes see the same stale load reports. Sampling keeps them from all
        sending to the same target (herding).
        """
        cached = {t.name: self.estimate_cached_tokens(request, t) for t in targets}
        affinity_target = self.index.choose_affinity_target(request.prefixes, targets)
        if affinity_target is not None:
            # Other boxes send programs with the same prefix to this target too.
            shared = self.index.count_shared_tokens(request.prefixes)
            cached[affinity_target.name] = max(cached[affinity_target.name], shared)
        waste_factor = self.waste_factor + BACKLOG_FACTOR * measure_backlog(targets)
        transferable = max(request.cached_tokens.values(), default=0)
        with_cache = [t for t in targets if cached[t.name] > 0]
        without_cache = [t for t in targets if cached[t.name] == 0]
        if len(without_cache) > MAX_UNCACHED_CANDIDATES:
            without_cache = random_source.sample(without_cache, MAX_UNCACHED_CANDIDATES)
        return min(
            [*with_cache, *without_cache],
            key=lambda t: (
                self.compute_prefill_cost(
                    request, t, cached[t.name], transferable, waste_factor
                )
                + self.compute_queue_cost(request, t),
                t is not affinity_target,
                random_source.random(),
            ),
        )

    def estimate_cached_tokens(
        self, request: PlacementRequest, target: TargetState
    ) -> int:
        """Return the estimated number of prompt tokens in the cache of a target."""
        own = request.cached_tokens.get(target.name, 0)
        shared = self.index.count_cached_tokens(request.prefixes, target.name)
        return min(max(own, shared), request.prompt_tokens)

    def compute_prefill_cost(
        self,
        request: PlacementRequest,
        target: TargetState,
        cached_tokens: int,
        transferable_tokens: int,
        waste_factor: float,
    ) -> float:
        """Return the cost of the prefill in seconds, weighted for recomputation.

        Parameters
        ----------
        cached_tokens : int
            Estimated number of prompt tokens that the target has cached.
        transferable_tokens : int
            Number of prompt tokens that this target could import from another one.
        waste_factor : float
            Weight of a recomputed token.
        """
        report = target.report
        rate = report.prefill_tokens_per_second if report else DEFAULT_PREFILL_RATE
        uncached = max(0, request.prompt_tokens - cached_tokens)
        if is_transfer_cheaper(target, cached_tokens, transferable_tokens):
            assert report is not None
            transferred = transferable_tokens - cached_tokens
            transfer_seconds = (
                TRANSFER_OVERHEAD_SECONDS
                + transferred / report.import_tokens_per_second
            )
            uncached = max(0, request.prompt_tokens - transferable_tokens)
            return waste_factor * uncached / rate + EVICTION_FACTOR * transfer_seconds
        return waste_factor * uncached / rate

    def compute_queue_cost(
        self, request: PlacementRequest, target: TargetState
    ) -> float:
        """Return the expected queueing delay of the request in seconds.

        Only requests of the same or a higher priority count as queued ahead, so
        newer programs do not drive an older one from its cache.
        """
        report = target.report
        rate = report.prefill_tokens_per_second if report else DEFAULT_PREFILL_RATE
        step = report.step_seconds if report else DEFAULT_STEP_SECONDS
        slots = count_slots(target)
        fraction_ahead = target.estimate_fraction_ahead(request.priority)
        queued_tokens = target.estimate_pending_tokens(self.clock.monotonic())
        queue = queued_tokens * target.uncached_fraction * fraction_ahead / rate
        answer = target.mean_answer_tokens or request.max_tokens
        slot_seconds = step * answer / slots
        waiting = 0.0
        if target.outstanding_requests >= slots:
            waiting = (
                1.0 + (target.outstanding_requests - slots) * fraction_ahead
            ) * slot_seconds
        if not request.cached_tokens:
            waiting += self.estimate_later_waits(
                target.outstanding_requests / slots, slot_seconds
            )
        is_remote = target.section.failure_domain != request.failure_domain
        return queue + waiting + CROSS_DOMAIN_RTT_SECONDS * is_remote

    def estimate_later_waits(self, occupancy: float, slot_seconds: float) -> float:
        """Return the expected queueing delay of later calls, in seconds.

        A program tends to stay on the target of its first call. A shared prefix
        saves time once, whereas a busy target delays every call.

        Parameters
        ----------
        occupancy : float
            Requests at the target per slot.
        slot_seconds : float
            Mean time until a slot becomes free when all are in use.
        """
        return EXPECTED_LATER_CALLS * slot_seconds * min(occupancy, MAX_OCCUPANCY) ** 2


def count_slots(target: TargetState) -> int:
    """Return how many requests a target runs concurrently."""
    return target.report.max_running if target.report else DEFAULT_SLOTS


def measure_backlog(targets: Sequence[TargetState]) -> float:
    """Return the number of waiting requests per slot, over the given targets."""
    slots = sum(count_slots(target) for target in targets)
    waiting = sum(max(0, t.outstanding_requests - count_slots(t)) for t in targets)
    return waiting / slots


def is_transfer_cheaper(
    target: TargetState, cached_tokens: int, transferable_tokens: int
) -> bool:
    """Return whether a target should import a prompt's cache instead of computing it.

    Parameters
    ----------
    cached_tokens, transferable_tokens : int
        Prompt tokens cached on the target, and on the target to import from.
    """
    report = target.report
    if report is None or transferable_tokens - cached_tokens < MIN_TRANSFER_TOKENS:
        return False
    return report.import_tokens_per_second > report.prefill_tokens_per_second
