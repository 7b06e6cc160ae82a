"""Selects the target of a call."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import TYPE_CHECKING, Final

from cedarchute.placement.report_board import MAX_AGE_MS, MAX_REPORTS
from cedarchute.placement.target_report import TargetReport
from cedarchute.routing.target_load import TargetLoad

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.routing.route import Route
    from cedarchute.routing.target_entry import TargetEntry
    from cedarchute.routing.target_placement import TargetPlacement
    from cedarchute.routing.target_registry import TargetRegistry


# Penalty for a target in another failure domain: the way there takes a few
# milliseconds, and traffic between domains is billed.
CROSS_DOMAIN_FACTOR: Final = 1.5
# Penalty for a target without an open connection: a new one takes a round trip and a
# slot, and is billed.
NO_CONNECTION_FACTOR: Final = 1.4
# Penalty for failures, since a failed call costs a retry or its whole program. A target
# that fails every second call counts like one six times as slow.
FAILURE_WEIGHT: Final = 10.0
# Added to response times, so that the load still counts where they are near zero.
MIN_LATENCY_SECONDS: Final = 0.01
# Caps the slots of a target relative to the median, so that an entry that claims far
# too many doesn't attract every call. Targets of one service differ in size by a few
# times.
MAX_SLOTS_FACTOR: Final = 8


def find_median_slots(entries: list[TargetEntry]) -> int:
    """Return the median number of slots."""
    slots = sorted(entry.slots for entry in entries)
    return slots[(len(slots) - 1) // 2]


class LoadBalancer:
    """Selects the target with the least expected wait, as observed by this box.

    Parameters
    ----------
    placement : TargetPlacement or None
        Selects the targets of the services that it applies to.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        failure_domain: str,
        random_source: random.Random,
        has_connection: Callable[[Address], bool],
        placement: TargetPlacement | None = None,
    ) -> None:
        self.placement = placement
        self.has_connection = has_connection
        self.registry = registry
        self.failure_domain = failure_domain
        self.random_source = random_source
        self.loads: defaultdict[str, TargetLoad] = defaultdict(TargetLoad)

    def select_service(self, route: Route) -> str:
        """Return a random service of a route, weighted by the shares."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self.random_source.choices(route.shares, weights)[0].service

    def select_target(
        self, service: str, tried: set[str], preferred: str = ""
    ) -> TargetEntry | None:
        """Return a target that was not tried yet, or None if there is none.

        Parameters
        ----------
        preferred : str
            Incarnation of the target that caches the prompt of the call, if any.
        """
        ready = [e for e in self.registry.list_ready(service) if e.id not in tried]
        available = [e for e in ready if self.loads[e.incarnation].is_responsive]
        if self.placement is not None and self.placement.applies_to(service) and ready:
            return self.placement.select(
                available or ready,
                self.loads,
                self.failure_domain,
                self.has_connection,
                preferred,
            )
        for entry in available:
            if entry.incarnation == preferred and self.has_capacity(entry):
                return entry
        candidates = available or ready
        if not candidates:
            return None
        default_seconds = self.find_mean_latency(candidates)
        max_slots = MAX_SLOTS_FACTOR * find_median_slots(candidates)
        return min(
            candidates,
            key=lambda entry: self.estimate_wait(entry, default_seconds, max_slots),
        )

    def select_any(self, service: str, tried: set[str]) -> TargetEntry | None:
        """Return a random target that was not tried yet, one with capacity if any.

        For calls under which targets crashed one after the other: the calls that a
        crash took along come back at the same moment, and would meet again at the best
        target.
        """
        ready = [e for e in self.registry.list_ready(service) if e.id not in tried]
        available = [
            entry
            for entry in ready
            if self.loads[entry.incarnation].is_responsive and self.has_capacity(entry)
        ]
        candidates = available or ready
        return self.random_source.choice(candidates) if candidates else None

    def find_mean_latency(self, entries: list[TargetEntry]) -> float:
        """Return the mean response time of targets, 0 if none is known.

        A target without samples is given this mean: with a better value, each box
        would open a connection to every target.
        """
        known = [
            self.loads[entry.incarnation].mean_latency_seconds for entry in entries
        ]
        seconds = [value for value in known if value is not None]
        return sum(seconds) / len(seconds) if seconds else 0.0

    def prune_loads(self) -> None:
        """Remove the loads of target incarnations that are gone and have no calls."""
        known = {entry.incarnation for entry in self.registry.known.entries.values()}
        for key in [key for key in self.loads if key not in known]:
            if not self.loads[key].active:
                del self.loads[key]

    def list_reports(self) -> tuple[TargetReport, ...]:
        """Return what this box saw of the targets that it used lately."""
        now = time.monotonic()
        oldest = now - MAX_AGE_MS / 1000
        used = [
            (incarnation, load)
            for incarnation, load in self.loads.items()
            if load.active or load.used_at >= oldest
        ]
        used.sort(key=lambda item: (item[1].active, item[1].used_at), reverse=True)
        return tuple(
            TargetReport(
                incarnation,
                load.active,
                round(1000 * (load.estimate_seconds(now) or 0.0)),
                round(100 * load.find_recent_failure_share(now)),
            )
            for incarnation, load in used[:MAX_REPORTS]
        )

    def find_alive_at(self, incarnation: str) -> float:
        """Return when a target was last sent a call that it answered."""
        load = self.loads.get(incarnation)
        return load.alive_at if load else float("-inf")

    def has_capacity(self, entry: TargetEntry) -> bool:
        """Return whether a target has free slots, counting this box's calls only."""
        return self.loads[entry.incarnation].active < entry.slots

    def estimate_wait(
        self, entry: TargetEntry, default_seconds: float, max_slots: int
    ) -> tuple[float, float]:
        """Return the expected wait at a target, ties broken at random.

        Parameters
        ----------
        default_seconds : float
            Response time of a target without samples.
        max_slots : int
            Cap on the slots of a target.
        """
        load = self.loads[entry.incarnation]
        seconds = MIN_LATENCY_SECONDS + (
            default_seconds
            if load.mean_latency_seconds is None
            else load.mean_latency_seconds
        )
        wait = (load.active + 1) / min(entry.slots, max_slots) * seconds
        wait *= 1.0 + FAILURE_WEIGHT * load.failure_share
        if entry.failure_domain != self.failure_domain:
            wait *= CROSS_DOMAIN_FACTOR
        if not self.has_connection(entry.address):
            wait *= NO_CONNECTION_FACTOR
        return wait, self.random_source.random()
