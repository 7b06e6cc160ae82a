"""Sticky placement of programs; a baseline policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.scheduling.least_load import LeastLoad

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarchute.scheduling.placement import PlacementRequest
    from cedarchute.scheduling.target_state import TargetState


class Sticky:
    """Sends the first call to the least loaded target, later calls to the same one."""

    def __init__(self) -> None:
        self.initial_policy = LeastLoad()

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetState],
        random_source: random.Random,
    ) -> TargetState:
        """Return the target of the previous call if it is available."""
        for target in targets:
            if target.name == request.last_target:
                return target
        return self.initial_policy.choose(request, targets, random_source)
