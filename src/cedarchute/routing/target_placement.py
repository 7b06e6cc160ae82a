"""Places calls on uneven targets, with what other boxes know of them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cedarchute.placement.target_candidate import TargetCandidate

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cedarchute.address import Address
    from cedarchute.metrics import Metrics
    from cedarchute.placement.candidate_selection import CandidateSelection
    from cedarchute.placement.target_knowledge import TargetKnowledge
    from cedarchute.routing.target_entry import TargetEntry
    from cedarchute.routing.target_load import TargetLoad


class TargetPlacement:
    """Selects targets of the services that it applies to.

    Parameters
    ----------
    applies_to : callable
        Whether the targets of a service are selected here.
    """

    def __init__(
        self,
        selection: CandidateSelection,
        knowledge: TargetKnowledge,
        applies_to: Callable[[str], bool],
        metrics: Metrics,
    ) -> None:
        self.selection = selection
        self.knowledge = knowledge
        self.applies_to = applies_to
        self.metrics = metrics

    def select(
        self,
        entries: list[TargetEntry],
        loads: Mapping[str, TargetLoad],
        failure_domain: str,
        has_connection: Callable[[Address], bool],
        preferred: str,
    ) -> TargetEntry:
        """Return one of the targets; there is at least one.

        Parameters
        ----------
        preferred : str
            Incarnation of the target that caches the prompt of the call, if any.
        """
        now = time.monotonic()
        candidates = [
            TargetCandidate(
                entry,
                loads[entry.incarnation].active,
                loads[entry.incarnation].estimate_seconds(now),
                loads[entry.incarnation].failure_share,
                entry.failure_domain == failure_domain,
                has_connection(entry.address),
                entry.incarnation == preferred,
                self.knowledge.find(entry.incarnation),
            )
            for entry in entries
        ]
        target = self.selection.select(candidates)
        self.count(target, candidates)
        return target

    def count(self, target: TargetEntry, candidates: list[TargetCandidate]) -> None:
        """Count where a call was placed, and whether others told of that target."""
        chosen = next(item for item in candidates if item.entry is target)
        name = "local" if chosen.is_local else "other_domain"
        self.metrics.count(f"placement.{name}")
        if chosen.belief is not None:
            self.metrics.count("placement.by_news")
