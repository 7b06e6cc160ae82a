"""Chooses the target of a call."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final

from cedarchute.routing.target_load import TargetLoad

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.routing.route import Route
    from cedarchute.routing.target_entry import TargetEntry
    from cedarchute.routing.target_registry import TargetRegistry


# A target in another failure domain has to be this much better: the way there costs
# a few milliseconds, and bytes between domains cost money.
OTHER_DOMAIN_FACTOR: Final = 1.5
# A target without an open connection has to be this much better: a new connection
# takes a round trip and a slot, and costs money.
COLD_FACTOR: Final = 1.4
# A target that failed every second call lately is as good as one six times as slow: a
# failed call costs a whole new try, or its program.
FAILURE_WEIGHT: Final = 10.0
# Counted on top of what answers take, so that none counts as nothing.
LEAST_SECONDS: Final = 0.01
# Targets of one service differ by a few times in size. One whose entry claims far more
# slots than the middle one would draw every call.
MOST_SLOTS_FACTOR: Final = 8


def find_middle_slots(entries: list[TargetEntry]) -> int:
    """Return the slots of the target in the middle by slots."""
    slots = sorted(entry.slots for entry in entries)
    return slots[(len(slots) - 1) // 2]


class LoadBalancer:
    """Least expected wait, from what this box has under way and has seen."""

    def __init__(
        self,
        registry: TargetRegistry,
        failure_domain: str,
        chance: random.Random,
        is_warm: Callable[[Address], bool],
    ) -> None:
        self.is_warm = is_warm
        self.registry = registry
        self.failure_domain = failure_domain
        self.chance = chance
        self.loads: defaultdict[str, TargetLoad] = defaultdict(TargetLoad)

    def select_service(self, route: Route) -> str:
        """Return a service of a route, by chance in proportion to the shares."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self.chance.choices(route.shares, weights)[0].service

    def select_target(
        self, service: str, tried: set[str], preferred: str = ""
    ) -> TargetEntry | None:
        """Return a target that was not tried yet, or None when there is none.

        Parameters
        ----------
        preferred : str
            The start of a target that holds what the call goes on from, if any.
        """
        ready = [e for e in self.registry.list_ready(service) if e.id not in tried]
        sound = [e for e in ready if not self.loads[e.incarnation].is_paused]
        for entry in sound:
            if entry.incarnation == preferred and self.has_room(entry):
                return entry
        candidates = sound or ready
        if not candidates:
            return None
        usual = self.find_usual_seconds(candidates)
        most_slots = MOST_SLOTS_FACTOR * find_middle_slots(candidates)
        return min(
            candidates, key=lambda entry: self.estimate(entry, usual, most_slots)
        )

    def find_usual_seconds(self, entries: list[TargetEntry]) -> float:
        """Return what answers of targets take on average, 0 when none is known.

        A target that was not used yet is expected to be like the others: were it
        better, each box would open a connection to every target.
        """
        known = [
            self.loads[entry.incarnation].mean_latency_seconds for entry in entries
        ]
        seconds = [value for value in known if value is not None]
        return sum(seconds) / len(seconds) if seconds else 0.0

    def prune_loads(self) -> None:
        """Forget what was learnt of starts of targets that are over."""
        known = {entry.incarnation for entry in self.registry.known.entries.values()}
        for start in [start for start in self.loads if start not in known]:
            if not self.loads[start].active:
                del self.loads[start]

    def has_room(self, entry: TargetEntry) -> bool:
        """Whether a target has slots left, as far as this box's own calls tell."""
        return self.loads[entry.incarnation].active < entry.slots

    def estimate(
        self, entry: TargetEntry, usual: float, most_slots: int
    ) -> tuple[float, float]:
        """Return the expected wait at a target, ties broken by chance.

        Parameters
        ----------
        usual : float
            What answers are expected to take where none was seen, in seconds.
        most_slots : int
            Slots beyond these count as these.
        """
        load = self.loads[entry.incarnation]
        seconds = LEAST_SECONDS + (
            usual if load.mean_latency_seconds is None else load.mean_latency_seconds
        )
        wait = (load.active + 1) / min(entry.slots, most_slots) * seconds
        wait *= 1.0 + FAILURE_WEIGHT * load.failure_share
        if entry.failure_domain != self.failure_domain:
            wait *= OTHER_DOMAIN_FACTOR
        if not self.is_warm(entry.address):
            wait *= COLD_FACTOR
        return wait, self.chance.random()
