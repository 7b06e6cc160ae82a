"""Targets of the accepted file with their health and load."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.membership.box_ring import BoxRing
from cedarchute.membership.rank import rank
from cedarchute.operators.site_file import TargetState as DesiredState
from cedarchute.scheduling.target_state import TargetState

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.metrics import Metrics
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.operators.site_file import SiteFile, TargetSection
    from cedarchute.targets.load_report import LoadReport

BACKOFF_BASE_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 15.0


class TargetDirectory:
    """Tracks the targets of the accepted file, their health and their load reports.

    Parameters
    ----------
    box : str
        Name of this box, which determines its subset of the targets.
    subset : int
        Minimum number of targets per service that the box uses. Subsetting keeps
        polls and connections per box from growing with the fleet.
    """

    def __init__(
        self, box: str, region: str, subset: int, clock: Clock, metrics: Metrics
    ) -> None:
        self.box = box
        self.region = region
        self.subset = subset
        self.clock = clock
        self.metrics = metrics
        self.site: SiteFile | None = None
        self.ring = BoxRing(())
        self.targets: dict[str, TargetState] = {}
        self.unassigned: dict[str, TargetState] = {}
        self.by_service: dict[str, list[TargetState]] = {}
        self.platform_draining: frozenset[str] = frozenset()

    def on_configuration(self, accepted: AcceptedFile) -> None:
        """Apply an accepted file; the state of unchanged targets is kept."""
        self.site = accepted.site
        self.assign_targets()

    def on_ring_changed(self, ring: BoxRing) -> None:
        """Reassign targets when the membership of the ring has changed."""
        if ring.names != self.ring.names:
            self.ring = ring
            self.assign_targets()

    def assign_targets(self) -> None:
        """Select the subset of targets that this box sends work to.

        For each service these are the first `subset` targets by rendezvous hashing,
        and the targets that the ring assigns to this box, so that every target is
        used by at least one box. Targets of other regions are used only when the
        box's own region has none.
        """
        known_states = {**self.unassigned, **self.targets}
        self.targets = {}
        self.unassigned = {}
        self.by_service = {}
        if self.site is None:
            return
        for service in self.site.services:
            sections = self.site.targets_of(service)
            same_region = [n for n, s in sections.items() if s.region == self.region]
            ranked = sorted(
                same_region or sections, key=lambda name: rank(self.box, name)
            )
            assigned = [
                name
                for position, name in enumerate(ranked)
                if position < self.subset or self.ring.find_owner(name) == self.box
            ]
            for name in assigned:
                state = update_state(known_states.get(name), name, sections[name])
                self.targets[name] = state
                self.by_service.setdefault(service, []).append(state)
        for name, section in self.site.targets.items():
            if name in known_states and name not in self.targets:
                self.unassigned[name] = update_state(known_states[name], name, section)

    def find(self, name: str) -> TargetState | None:
        """Return any target of the accepted file, or None.

        Includes targets outside the subset of this box: a program that it has
        taken over may have a stream or its cache on one.
        """
        state = self.targets.get(name) or self.unassigned.get(name)
        if state is not None or self.site is None or name not in self.site.targets:
            return state
        state = self.unassigned[name] = TargetState(name, self.site.targets[name])
        return state

    def list_available(self, service: str, excluded: set[str]) -> list[TargetState]:
        """Return the targets of `service` that accept new requests now."""
        now = self.clock.monotonic()
        return [
            target
            for target in self.by_service.get(service, [])
            if not is_draining(target)
            and target.name not in self.platform_draining
            and target.name not in excluded
            and self.is_ready(target, now)
        ]

    def is_ready(self, target: TargetState, now: float) -> bool:
        """Return whether a target is healthy, or due for a single probe."""
        if target.failures == 0:
            return True
        return now >= target.backoff_until and not target.probing

    def on_request_sent(
        self, target: TargetState, tokens: int, priority: int = 0
    ) -> None:
        """Record a request sent to `target`, with `tokens` to compute."""
        target.in_flight += 1
        target.priorities.append(priority)
        target.tokens_sent_since_report += tokens
        target.probing = target.failures > 0

    def on_request_succeeded(self, target: TargetState, priority: int = 0) -> None:
        """Record a successful request and reset the failure count."""
        target.in_flight -= 1
        target.priorities.remove(priority)
        target.failures = 0
        target.probing = False

    def on_request_failed(
        self, target: TargetState, reason: str, priority: int = 0
    ) -> None:
        """Record a failure; back off unless the target was busy or refused it."""
        target.in_flight -= 1
        target.priorities.remove(priority)
        target.probing = False
        if reason in ("target_busy", "target_refused"):
            return
        self.back_off(target)

    def back_off(self, target: TargetState) -> None:
        """Suspend requests to a target, with exponential backoff."""
        target.failures += 1
        backoff = min(BACKOFF_BASE_SECONDS * 2**target.failures, MAX_BACKOFF_SECONDS)
        target.backoff_until = self.clock.monotonic() + backoff
        self.metrics.count("targets.rested")

    def on_report(self, target: TargetState, report: LoadReport) -> None:
        """Store a load report and restart the counts kept since the last one."""
        target.report = report
        target.reported_at = self.clock.monotonic()
        target.in_flight_at_report = target.in_flight
        target.tokens_sent_since_report = 0


def update_state(
    state: TargetState | None, name: str, section: TargetSection
) -> TargetState:
    """Return the updated state of a target, or a new one if its address changed."""
    if state is None or state.section.address != section.address:
        return TargetState(name, section)
    state.section = section
    return state


def is_draining(target: TargetState) -> bool:
    """Return whether the accepted file or the load report marks it as draining."""
    reported = target.report is not None and target.report.leaving
    return reported or target.section.state is DesiredState.LEAVING
