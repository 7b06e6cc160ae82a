"""How one of several candidates is selected."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarchute.placement.target_candidate import TargetCandidate
    from cedarchute.routing.target_entry import TargetEntry


class CandidateSelection(Protocol):
    """Selects the target of a call."""

    def select(self, candidates: Sequence[TargetCandidate]) -> TargetEntry:
        """Return the target of one candidate; there is at least one."""
        ...
