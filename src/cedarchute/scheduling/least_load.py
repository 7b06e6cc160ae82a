"""Takes the target with the fewest requests; a baseline."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarchute.scheduling.placement import PlacementRequest
    from cedarchute.scheduling.target_state import TargetState


class LeastLoad:
    """Each call goes where the fewest requests are, ties by chance."""

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetState],
        random_source: random.Random,
    ) -> TargetState:
        """Return the least loaded target."""
        del request
        return min(
            targets, key=lambda t: (t.outstanding_requests, random_source.random())
        )
