"""The targets that this box may use, and how they are doing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.membership.view import rank
from cedarchute.operators.site_file import TargetState as WantedState
from cedarchute.scheduling.target_state import TargetState

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.metrics import Metrics
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.targets.load_report import LoadReport

FIRST_REST_SECONDS: Final = 0.5
LONGEST_REST_SECONDS: Final = 15.0


class TargetBook:
    """Follows the accepted file and the reports of targets.

    Parameters
    ----------
    box : str
        The name of this box; it decides which share of a large set of targets
        the box works with, so that neither polls nor connections grow with the
        fleet.
    """

    def __init__(self, box: str, subset: int, clock: Clock, metrics: Metrics) -> None:
        self.box = box
        self.subset = subset
        self.clock = clock
        self.metrics = metrics
        self.targets: dict[str, TargetState] = {}
        self.by_service: dict[str, list[TargetState]] = {}
        self.platform_leaving: frozenset[str] = frozenset()

    def on_configuration(self, accepted: AcceptedFile) -> None:
        """Take in an accepted file; what is known of kept targets stays."""
        targets = {}
        by_service: dict[str, list[TargetState]] = {}
        for service in accepted.site.services:
            sections = accepted.site.targets_of(service)
            names = sorted(sections, key=lambda name: rank(self.box, name))
            for name in names[: self.subset]:
                state = self.targets.get(name)
                if state is None or state.section.address != sections[name].address:
                    state = TargetState(name, sections[name])
                state.section = sections[name]
                targets[name] = state
                by_service.setdefault(service, []).append(state)
        self.targets = targets
        self.by_service = by_service

    def usable(self, service: str, excluded: set[str]) -> list[TargetState]:
        """Return the targets of `service` that may get new work now."""
        now = self.clock.monotonic()
        return [
            target
            for target in self.by_service.get(service, [])
            if not is_leaving(target)
            and target.name not in self.platform_leaving
            and target.name not in excluded
            and self.may_try(target, now)
        ]

    def may_try(self, target: TargetState, now: float) -> bool:
        """Return whether a target is sound, or due for one careful try."""
        if target.failures == 0:
            return True
        return now >= target.failing_until and not target.probing

    def on_sent(self, target: TargetState, tokens: int, priority: int = 0) -> None:
        """Note a request that goes to `target`, with `tokens` to compute."""
        target.in_flight += 1
        target.priorities.append(priority)
        target.sent_tokens_since += tokens
        target.probing = target.failures > 0

    def on_done(self, target: TargetState, priority: int = 0) -> None:
        """Note that a request to `target` ended well."""
        target.in_flight -= 1
        target.priorities.remove(priority)
        target.failures = 0
        target.probing = False

    def on_failed(self, target: TargetState, reason: str, priority: int = 0) -> None:
        """Note a failure; the target rests, unless it was only busy."""
        target.in_flight -= 1
        target.priorities.remove(priority)
        target.probing = False
        if reason in ("target_busy", "target_refused"):
            return
        self.rest(target)

    def rest(self, target: TargetState) -> None:
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


def is_leaving(target: TargetState) -> bool:
    """Return whether operators or the target itself say that it is leaving."""
    reported = target.report is not None and target.report.leaving
    return reported or target.section.state is WantedState.LEAVING
