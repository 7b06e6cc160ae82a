"""Round-robin placement; a baseline policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarchute.scheduling.placement import PlacementRequest
    from cedarchute.scheduling.target_state import TargetState


class RoundRobin:
    """Sends each call to the next target in turn."""

    def __init__(self) -> None:
        self.count = 0

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetState],
        random_source: random.Random,
    ) -> TargetState:
        """Return the next target in turn."""
        del request, random_source
        self.count += 1
        return targets[self.count % len(targets)]
