"""Selection among uneven targets by their measured pace and what other boxes told."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.placement.failing import is_failing_share

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarchute.placement.target_candidate import TargetCandidate
    from cedarchute.routing.target_entry import TargetEntry

# What other boxes had under way is old by its way and by the next choices of all boxes,
# which know the same: taken in full, it sends them all to one target.
BELIEF_WEIGHT: Final = 0.1
BELIEF_HALF_LIFE_SECONDS: Final = 1.0
# Enough to find a faster target, too few for all boxes to find the same one.
DRAWN: Final = 3
# How far a told pace is trusted where this box has measured none: others go there too.
TOLD_PACE_WEIGHT: Final = 0.25
# How long a target that other boxes saw fail counts as failing; one that restarts is
# back after about as long.
FAILING_SECONDS: Final = 1.0
# A failed call costs a retry or its whole program.
FAILURE_WEIGHT: Final = 10.0
# A way to another failure domain, and a margin since bytes between domains are billed.
OTHER_DOMAIN_SECONDS: Final = 0.005
OTHER_DOMAIN_FACTOR: Final = 1.5
# Targets there are drawn less often, since few of them are selected.
OTHER_DOMAIN_WEIGHT: Final = 0.1
# A new connection takes a round trip.
CONNECT_SECONDS: Final = 0.005
# Share of a usual call's duration that reading its prompt takes.
PROMPT_SHARE: Final = 0.25
# Full targets stay possible: what was told of them is old.
MIN_FREE_PLACES: Final = 0.25
MIN_SECONDS: Final = 0.01
# An entry that claims far too many slots must not attract every call.
MAX_SLOTS_FACTOR: Final = 8


class PacedSelection:
    """Selects the target with the least expected wait among some.

    Those are the targets that this box measured itself, which differ from box to box,
    and some others by chance: all boxes are told the same of them, and would send their
    calls to one target. Without news, all targets are candidates.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source

    def select(self, candidates: Sequence[TargetCandidate]) -> TargetEntry:
        """Return the target of one candidate; there is at least one."""
        open_ones = [item for item in candidates if not must_wait_for_trial(item)]
        usable = open_ones or list(candidates)
        usual_seconds = find_usual_seconds(usable)
        sizes = sorted(item.entry.slots for item in usable)
        max_slots = MAX_SLOTS_FACTOR * sizes[(len(sizes) - 1) // 2]
        best = min(
            self.draw(usable, max_slots),
            key=lambda item: (
                estimate_wait(item, usual_seconds, max_slots),
                self.random_source.random(),
            ),
        )
        return best.entry

    def draw(
        self, candidates: list[TargetCandidate], max_slots: int
    ) -> list[TargetCandidate]:
        """Return the candidates that are compared."""
        if all(item.belief is None for item in candidates):
            return candidates
        measured = [item for item in candidates if item.mean_seconds is not None]
        others = [item for item in candidates if item.mean_seconds is None]
        return measured + self.draw_unmeasured(others, max_slots)

    def draw_unmeasured(
        self, candidates: list[TargetCandidate], max_slots: int
    ) -> list[TargetCandidate]:
        """Return some candidates by chance, weighted by their free places."""
        drawn: list[TargetCandidate] = []
        for _ in range(min(DRAWN, len(candidates))):
            rest = [item for item in candidates if item not in drawn]
            weights = [weigh(item, max_slots) for item in rest]
            drawn += self.random_source.choices(rest, weights)
        return drawn


def must_wait_for_trial(candidate: TargetCandidate) -> bool:
    """Return whether a target that other boxes saw fail is being tried already."""
    belief = candidate.belief
    if belief is None or belief.age_seconds > FAILING_SECONDS:
        return False
    is_tried = candidate.active + belief.active >= 1
    return is_failing_share(belief.failure_share) and is_tried


def find_usual_seconds(candidates: Sequence[TargetCandidate]) -> float:
    """Return the mean of the durations that this box measured, else of those told."""
    own = [item.mean_seconds for item in candidates if item.mean_seconds is not None]
    told = [
        item.belief.mean_seconds
        for item in candidates
        if item.belief is not None and item.belief.mean_seconds is not None
    ]
    known = own or told
    return sum(known) / len(known) if known else 0.0


def find_seconds(candidate: TargetCandidate, usual_seconds: float) -> float:
    """Return the expected duration of a call at a target that has room."""
    if candidate.mean_seconds is not None:
        return candidate.mean_seconds
    belief = candidate.belief
    if belief is None or belief.mean_seconds is None:
        return usual_seconds
    told = belief.mean_seconds
    cautious = max(told, usual_seconds)
    return cautious + TOLD_PACE_WEIGHT * (told - cautious)


def count_calls(candidate: TargetCandidate) -> float:
    """Return the calls under way at a target, those of other boxes by their weight."""
    belief = candidate.belief
    if belief is None:
        return candidate.active
    left = 0.5 ** (belief.age_seconds / BELIEF_HALF_LIFE_SECONDS)
    return candidate.active + BELIEF_WEIGHT * belief.active * left


def weigh(candidate: TargetCandidate, max_slots: int) -> float:
    """Return the weight of a candidate in a draw: its free places, as told."""
    told_calls = 0.0 if candidate.belief is None else candidate.belief.active
    slots = min(candidate.entry.slots, max_slots)
    free = max(MIN_FREE_PLACES, slots - candidate.active - told_calls)
    return free if candidate.is_local else OTHER_DOMAIN_WEIGHT * free


def estimate_wait(
    candidate: TargetCandidate, usual_seconds: float, max_slots: int
) -> float:
    """Return the expected wait at a target, in seconds of its places."""
    slots = min(candidate.entry.slots, max_slots)
    seconds = MIN_SECONDS + find_seconds(candidate, usual_seconds)
    wait = (count_calls(candidate) + 1) / slots * seconds
    belief = candidate.belief
    told_share = belief.failure_share if belief is not None else 0.0
    wait *= 1 + FAILURE_WEIGHT * max(candidate.failure_share, told_share)
    if not candidate.has_connection:
        wait += CONNECT_SECONDS
    if not candidate.is_local:
        wait = OTHER_DOMAIN_FACTOR * wait + OTHER_DOMAIN_SECONDS
    if candidate.has_prompt:
        wait -= PROMPT_SHARE * usual_seconds
    return wait
