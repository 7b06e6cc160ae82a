"""Weighs a target's queue against computing the program's prefix again."""

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
# A token computed delays its own call and displaces a cached one.
EVICTION_FACTOR: Final = 2.0
# What it counts on top for each request that waits for a slot.
BACKLOG_FACTOR: Final = 3.0
# The way to another failure domain and back.
CROSS_DOMAIN_RTT_SECONDS: Final = 0.002
# Targets without cache that are compared.
MAX_UNCACHED_CANDIDATES: Final = 4
# Later calls of a new program, of which nothing is known.
EXPECTED_LATER_CALLS: Final = 4.0
MIN_TRANSFER_TOKENS: Final = 64
# An export and an import, without the time of the tokens.
TRANSFER_OVERHEAD_SECONDS: Final = 0.05
# Requests a slot above which a target counts as no more crowded.
MAX_OCCUPANCY: Final = 2.0


class ProgramAware:
    """Chooses the lowest expected delay, with waste counted as delay.

    Parameters
    ----------
    latency_weight : float
        With 1, a token computed again counts twice: once for its delay, once for
        the cached token that it displaces and that someone computes again. With
        0 it counts four times, so that a program stays with its cache for longer.
        While requests wait for slots, it counts for those that it holds up too.
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
        """Return the best of the targets with cache and of some others by chance.

        Many boxes see the same late reports. Comparing only a few targets chosen
        by chance keeps them from all sending to the same one.
        """
        cached = {t.name: self.estimate_cached_tokens(request, t) for t in targets}
        affinity_target = self.index.choose_affinity_target(request.prefixes, targets)
        if affinity_target is not None:
            # Programs of other boxes with the same beginning are sent there too.
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
        """Return how much of the prompt the target is believed to have cached."""
        own = request.cached_tokens.get(target.name, 0)
        shared = self.index.count_held_tokens(request.prefixes, target.name)
        return min(max(own, shared), request.prompt_tokens)

    def compute_prefill_cost(
        self,
        request: PlacementRequest,
        target: TargetState,
        cached_tokens: int,
        transferable_tokens: int,
        waste_factor: float,
    ) -> float:
        """Return the seconds until the prompt is in the cache, and its waste.

        Parameters
        ----------
        cached_tokens : int
            What the target is believed to have of the prompt.
        transferable_tokens : int
            What some other target has, for this one to import.
        waste_factor : float
            How often a token computed again counts.
        """
        report = target.report
        rate = report.prefill_tokens_per_second if report else DEFAULT_PREFILL_RATE
        uncached = max(0, request.prompt_tokens - cached_tokens)
        if is_worth_moving(target, cached_tokens, transferable_tokens):
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
        """Return the expected seconds that the request waits at the target.

        Only what goes before the request at the target counts as its queue: an
        old program need not leave its cache because young ones wait there.
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
        """Return the expected waits of a program's later calls, in seconds.

        A new program stays where its first call goes. What it saves there by a
        shared beginning it saves once; a crowded engine costs it at each call.

        Parameters
        ----------
        occupancy : float
            Requests at the target for each slot.
        slot_seconds : float
            Mean time until some slot is free when all are taken.
        """
        return EXPECTED_LATER_CALLS * slot_seconds * min(occupancy, MAX_OCCUPANCY) ** 2


def count_slots(target: TargetState) -> int:
    """Return how many requests a target works on at once."""
    return target.report.max_running if target.report else DEFAULT_SLOTS


def measure_backlog(targets: Sequence[TargetState]) -> float:
    """Return how many requests wait for each slot of some targets."""
    slots = sum(count_slots(target) for target in targets)
    waiting = sum(max(0, t.outstanding_requests - count_slots(t)) for t in targets)
    return waiting / slots


def is_worth_moving(
    target: TargetState, cached_tokens: int, transferable_tokens: int
) -> bool:
    """Return whether a target should import a prompt's cache instead of computing it.

    Parameters
    ----------
    cached_tokens, transferable_tokens : int
        What the target has of the prompt, and what another one has.
    """
    report = target.report
    if report is None or transferable_tokens - cached_tokens < MIN_TRANSFER_TOKENS:
        return False
    return report.import_tokens_per_second > report.prefill_tokens_per_second
