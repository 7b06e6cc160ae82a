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
DISPLACING_FACTOR: Final = 2.0
# What it counts on top for each request that waits for a slot.
BUSY_FACTOR: Final = 3.0
# The way to another failure domain and back.
NEAR_SECONDS: Final = 0.002
# Targets without cache that are compared.
CANDIDATES: Final = 4
# Later calls of a new program, of which nothing is known.
EXPECTED_CALLS: Final = 4.0
LEAST_MOVED_TOKENS: Final = 64
# An export and an import, without the time of the tokens.
MOVE_SECONDS: Final = 0.05
# Requests a slot above which a target counts as no more crowded.
MOST_OCCUPIED: Final = 2.0


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
        cached = {t.name: self.count_cached(request, t) for t in targets}
        meeting = self.index.choose_meeting(request.prefixes, targets)
        if meeting is not None:
            # Programs of other boxes with the same beginning are sent there too.
            shared = self.index.count_shared_tokens(request.prefixes)
            cached[meeting.name] = max(cached[meeting.name], shared)
        waste_factor = self.waste_factor + BUSY_FACTOR * measure_backlog(targets)
        movable = max(request.cached_tokens.values(), default=0)
        known = [t for t in targets if cached[t.name] > 0]
        others = [t for t in targets if cached[t.name] == 0]
        if len(others) > CANDIDATES:
            others = random_source.sample(others, CANDIDATES)
        return min(
            [*known, *others],
            key=lambda t: (
                self.prompt_cost(request, t, cached[t.name], movable, waste_factor)
                + self.queue_cost(request, t),
                t is not meeting,
                random_source.random(),
            ),
        )

    def count_cached(self, request: PlacementRequest, target: TargetState) -> int:
        """Return how much of the prompt the target is believed to have cached."""
        own = request.cached_tokens.get(target.name, 0)
        shared = self.index.count_cached_tokens(request.prefixes, target.name)
        return min(max(own, shared), request.prompt_tokens)

    def prompt_cost(
        self,
        request: PlacementRequest,
        target: TargetState,
        cached_tokens: int,
        movable_tokens: int,
        waste_factor: float,
    ) -> float:
        """Return the seconds until the prompt is in the cache, and its waste.

        Parameters
        ----------
        cached_tokens : int
            What the target is believed to have of the prompt.
        movable_tokens : int
            What some other target has, for this one to import.
        waste_factor : float
            How often a token computed again counts.
        """
        report = target.report
        rate = report.prefill_tokens_per_second if report else DEFAULT_PREFILL_RATE
        uncached = max(0, request.prompt_tokens - cached_tokens)
        if is_transfer_cheaper(target, cached_tokens, movable_tokens):
            assert report is not None
            moved = movable_tokens - cached_tokens
            moving = MOVE_SECONDS + moved / report.import_tokens_per_second
            uncached = max(0, request.prompt_tokens - movable_tokens)
            return waste_factor * uncached / rate + DISPLACING_FACTOR * moving
        return waste_factor * uncached / rate

    def queue_cost(self, request: PlacementRequest, target: TargetState) -> float:
        """Return the expected seconds that the request waits at the target.

        Only what goes before the request at the target counts as its queue: an
        old program need not leave its cache because young ones wait there.
        """
        report = target.report
        rate = report.prefill_tokens_per_second if report else DEFAULT_PREFILL_RATE
        step = report.step_seconds if report else DEFAULT_STEP_SECONDS
        slots = count_slots(target)
        ahead = target.share_ahead(request.priority)
        queued_tokens = target.queued_tokens(self.clock.monotonic())
        queue = queued_tokens * target.uncached_share * ahead / rate
        answer = target.answer_tokens or request.max_tokens
        slot_seconds = step * answer / slots
        waiting = 0.0
        if target.queued >= slots:
            waiting = (1.0 + (target.queued - slots) * ahead) * slot_seconds
        if not request.cached_tokens:
            waiting += self.later_waits(target.queued / slots, slot_seconds)
        far = target.section.failure_domain != request.failure_domain
        return queue + waiting + NEAR_SECONDS * far

    def later_waits(self, occupied: float, slot_seconds: float) -> float:
        """Return the expected waits of a program's later calls, in seconds.

        A new program stays where its first call goes. What it saves there by a
        shared beginning it saves once; a crowded engine costs it at each call.

        Parameters
        ----------
        occupied : float
            Requests at the target for each slot.
        slot_seconds : float
            Mean time until some slot is free when all are taken.
        """
        return EXPECTED_CALLS * slot_seconds * min(occupied, MOST_OCCUPIED) ** 2


def count_slots(target: TargetState) -> int:
    """Return how many requests a target works on at once."""
    return target.report.max_running if target.report else DEFAULT_SLOTS


def measure_backlog(targets: Sequence[TargetState]) -> float:
    """Return how many requests wait for each slot of some targets."""
    slots = sum(count_slots(target) for target in targets)
    waiting = sum(max(0, t.queued - count_slots(t)) for t in targets)
    return waiting / slots


def is_transfer_cheaper(
    target: TargetState, cached_tokens: int, movable_tokens: int
) -> bool:
    """Return whether a target should import a prompt's cache instead of computing it.

    Parameters
    ----------
    cached_tokens, movable_tokens : int
        What the target has of the prompt, and what another one has.
    """
    report = target.report
    if report is None or movable_tokens - cached_tokens < LEAST_MOVED_TOKENS:
        return False
    return report.import_tokens_per_second > report.prefill_tokens_per_second
