"""The policy that the accepted file names."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.operators.site_file import Policy
from cedarchute.scheduling.least_load import LeastLoad
from cedarchute.scheduling.program_aware import ProgramAware
from cedarchute.scheduling.round_robin import RoundRobin
from cedarchute.scheduling.sticky import Sticky

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.scheduling.placement import PlacementPolicy
    from cedarchute.scheduling.prefix_index import PrefixIndex


class PolicySelector:
    """Holds the policy in force."""

    def __init__(self, index: PrefixIndex, clock: Clock) -> None:
        self.index = index
        self.clock = clock
        self.policy: PlacementPolicy = ProgramAware(0.5, index, clock)

    def current(self) -> PlacementPolicy:
        """Return the policy in force."""
        return self.policy

    def on_configuration(self, accepted: AcceptedFile) -> None:
        """Make the policy that a new file names."""
        site = accepted.site.site
        match site.policy:
            case Policy.ROUND_ROBIN:
                self.policy = RoundRobin()
            case Policy.LEAST_LOAD:
                self.policy = LeastLoad()
            case Policy.STICKY:
                self.policy = Sticky()
            case Policy.PROGRAM_AWARE:
                self.policy = ProgramAware(site.latency_weight, self.index, self.clock)
