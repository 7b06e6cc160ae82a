"""The limits of workspaces, shared out to the boxes without asking."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.limits.token_bucket import TokenBucket
from cedarchute.problem import Problem

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cedarchute.clock import Clock
    from cedarchute.metrics import Metrics
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.operators.configuration import Configuration
    from cedarchute.operators.site_file import WorkspaceSection

BURST_SECONDS: Final = 2.0
SPREAD_SECONDS: Final = 1.0


class WorkspaceLimits:
    """Gives each workspace this box's slice of its rate.

    The slice is the workspace's rate divided by the number of live boxes. It
    changes when boxes come and go or a file is accepted, never by a request.
    """

    def __init__(
        self,
        configuration: Configuration,
        count_boxes: Callable[[], int],
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self.configuration = configuration
        self.count_boxes = count_boxes
        self.clock = clock
        self.random_source = random_source
        self.metrics = metrics
        self.buckets: dict[str, TokenBucket] = {}

    def find_section(self, workspace: str) -> WorkspaceSection:
        """Return what operators declared for `workspace`.

        Raises
        ------
        Problem
            ``unknown_workspace`` when nothing is declared.
        """
        site = self.configuration.site
        section = site.workspaces.get(workspace) if site else None
        if section is None:
            self.metrics.count_refusal("unknown_workspace")
            raise Problem(
                "unknown_workspace",
                f"No [workspace {workspace}] in the accepted file; ask the operators.",
                status=404,
            )
        return section

    def admit(self, workspace: str) -> None:
        """Take one call from the slice of `workspace`.

        Raises
        ------
        Problem
            ``workspace_limit`` with a time to come back that is spread by chance.
        """
        section = self.find_section(workspace)
        bucket = self.find_bucket(workspace, section)
        if bucket.take():
            return
        self.metrics.count_refusal("workspace_limit")
        wait = bucket.seconds_until() + self.random_source.uniform(0, SPREAD_SECONDS)
        raise Problem(
            "workspace_limit",
            f"Workspace {workspace} is over its calls a second.",
            status=429,
            retry_after=wait,
        )

    def find_bucket(self, workspace: str, section: WorkspaceSection) -> TokenBucket:
        """Return the bucket of `workspace` at the rate of its slice now."""
        rate = section.calls_per_second / max(1, self.count_boxes())
        burst = max(1.0, rate * BURST_SECONDS)
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = self.buckets[workspace] = TokenBucket(rate, burst, self.clock)
        bucket.rate = rate
        bucket.burst = burst
        return bucket

    def on_configuration(self, accepted: AcceptedFile) -> None:
        """Forget the workspaces that a new file no longer declares."""
        known = accepted.site.workspaces
        self.buckets = {n: b for n, b in self.buckets.items() if n in known}
