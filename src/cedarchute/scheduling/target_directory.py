"""The targets that this box may use, and how they are doing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.membership.box_ring import BoxRing
from cedarchute.membership.rank import rank
from cedarchute.operators.site_file import TargetState as WantedState
from cedarchute.scheduling.target_state import TargetState

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.metrics import Metrics
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.operators.site_file import SiteFile, TargetSection
    from cedarchute.targets.load_report import LoadReport

FIRST_REST_SECONDS: Final = 0.5
LONGEST_REST_SECONDS: Final = 15.0


class TargetDirectory:
    """Follows the accepted file and the reports of targets.

    Parameters
    ----------
    box : str
        The name of this box; it decides which share of a large set of targets
        the box works with, so that neither polls nor connections grow with the
        fleet.
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
        self.others: dict[str, TargetState] = {}
        self.by_service: dict[str, list[TargetState]] = {}
        self.platform_draining: frozenset[str] = frozenset()

    def on_configuration(self, accepted: AcceptedFile) -> None:
        """Take in an accepted file; what is known of kept targets stays."""
        self.site = accepted.site
        self.choose_own()

    def on_ring_changed(self, ring: BoxRing) -> None:
        """Take in which boxes there are."""
        if ring.names != self.ring.names:
            self.ring = ring
            self.choose_own()

    def choose_own(self) -> None:
        """Choose the targets that this box works with.

        It takes a few of each service by rank, and those that the ring of boxes
        gives to it, so that each target is some box's. Targets of other regions
        serve only where its own has none.
        """
        known = {**self.others, **self.targets}
        self.targets = {}
        self.others = {}
        self.by_service = {}
        if self.site is None:
            return
        for service in self.site.services:
            sections = self.site.targets_of(service)
            near = [n for n, s in sections.items() if s.region == self.region]
            ranked = sorted(near or sections, key=lambda name: rank(self.box, name))
            own = [
                name
                for position, name in enumerate(ranked)
                if position < self.subset or self.ring.find_owner(name) == self.box
            ]
            for name in own:
                state = keep_state(known.get(name), name, sections[name])
                self.targets[name] = state
                self.by_service.setdefault(service, []).append(state)
        for name, section in self.site.targets.items():
            if name in known and name not in self.targets:
                self.others[name] = keep_state(known[name], name, section)

    def find(self, name: str) -> TargetState | None:
        """Return any target of the accepted file.

        One that other boxes work with is found too: a program that this box has
        taken over may have its answer or its cache there.
        """
        state = self.targets.get(name) or self.others.get(name)
        if state is not None or self.site is None or name not in self.site.targets:
            return state
        state = self.others[name] = TargetState(name, self.site.targets[name])
        return state

    def list_available(self, service: str, excluded: set[str]) -> list[TargetState]:
        """Return the targets of `service` that may get new work now."""
        now = self.clock.monotonic()
        return [
            target
            for target in self.by_service.get(service, [])
            if not is_draining(target)
            and target.name not in self.platform_draining
            and target.name not in excluded
            and self.may_try(target, now)
        ]

    def may_try(self, target: TargetState, now: float) -> bool:
        """Return whether a target is sound, or due for one careful try."""
        if target.failures == 0:
            return True
        return now >= target.failing_until and not target.probing

    def on_request_sent(
        self, target: TargetState, tokens: int, priority: int = 0
    ) -> None:
        """Note a request that goes to `target`, with `tokens` to compute."""
        target.in_flight += 1
        target.priorities.append(priority)
        target.sent_tokens_since += tokens
        target.probing = target.failures > 0

    def on_request_succeeded(self, target: TargetState, priority: int = 0) -> None:
        """Note that a request to `target` ended well."""
        target.in_flight -= 1
        target.priorities.remove(priority)
        target.failures = 0
        target.probing = False

    def on_request_failed(
        self, target: TargetState, reason: str, priority: int = 0
    ) -> None:
        """Note a failure; the target rests, unless it was only busy."""
        target.in_flight -= 1
        target.priorities.remove(priority)
        target.probing = False
        if reason in ("target_busy", "target_refused"):
            return
        self.back_off(target)

    def back_off(self, target: TargetState) -> None:
        """Leave a target alone for a while; for twice as long each time."""
        target.failures += 1
        rest = min(FIRST_REST_SECONDS * 2**target.failures, LONGEST_REST_SECONDS)
        target.failing_until = self.clock.monotonic() + rest
        self.metrics.count("targets.rested")

    def on_report(self, target: TargetState, report: LoadReport) -> None:
        """Take in a load report; corrections start again from it."""
        target.report = report
        target.reported_at = self.clock.monotonic()
        target.in_flight_at_report = target.in_flight
        target.sent_tokens_since = 0


def keep_state(
    state: TargetState | None, name: str, section: TargetSection
) -> TargetState:
    """Return what is known of a target, or a new state when its address changed."""
    if state is None or state.section.address != section.address:
        return TargetState(name, section)
    state.section = section
    return state


def is_draining(target: TargetState) -> bool:
    """Return whether operators or the target itself say that it is leaving."""
    reported = target.report is not None and target.report.leaving
    return reported or target.section.state is WantedState.LEAVING
