"""Placement by fewest outstanding requests; a baseline policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarchute.scheduling.placement import PlacementRequest
    from cedarchute.scheduling.target_state import TargetState


class LeastLoad:
    """Sends each call to the least loaded target; breaks ties at random."""

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetState],
        random_source: random.Random,
    ) -> TargetState:
        """Return the target with the fewest outstanding requests."""
        del request
        return min(
            targets, key=lambda t: (t.outstanding_requests, random_source.random())
        )
