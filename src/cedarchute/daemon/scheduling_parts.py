"""What decides where and when a call runs: targets, policies, limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.limits.limit_borrower import LimitBorrower
from cedarchute.limits.limit_lender import LimitLender
from cedarchute.limits.retry_budget import RetryBudget
from cedarchute.limits.workspace_limits import WorkspaceLimits
from cedarchute.scheduling.load_poller import LoadPoller
from cedarchute.scheduling.policy_selector import PolicySelector
from cedarchute.scheduling.prefix_index import PrefixIndex
from cedarchute.scheduling.prefix_pinner import PrefixPinner
from cedarchute.scheduling.target_directory import TargetDirectory
from cedarchute.targets.engine_client import EngineClient

if TYPE_CHECKING:
    import random

    from cedarchute.clock import Clock
    from cedarchute.daemon.shared_parts import SharedParts
    from cedarchute.metrics import Metrics
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.settings.box_settings import BoxSettings

# Share of the calls that may be retries until the operators' file says otherwise.
FIRST_RETRY_SHARE: Final = 0.1


class SchedulingParts:
    """Follows the configuration that is in force."""

    def __init__(
        self,
        settings: BoxSettings,
        shared: SharedParts,
        chance: random.Random,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        box = settings.box
        configuration = shared.configuration
        self.book = TargetDirectory(
            box.name, box.region, settings.serving.subset_targets, clock, metrics
        )
        self.engines = EngineClient(metrics)
        self.poller = LoadPoller(
            self.book,
            configuration,
            self.engines,
            settings.serving.load_seconds,
            chance,
        )
        self.prefix_index = PrefixIndex(clock)
        self.policies = PolicySelector(self.prefix_index, clock)
        self.shared_holds = PrefixPinner(
            self.engines,
            self.prefix_index,
            lambda: configuration.site.site.hold_shared_seconds,
            clock,
            metrics,
        )
        self.allowance = RetryBudget(FIRST_RETRY_SHARE)
        self.lender = LimitLender(configuration, clock)
        borrower = LimitBorrower(box.name, shared.view, self.lender, shared.client)
        self.limits = WorkspaceLimits(
            configuration,
            lambda: len(shared.view.entries),
            borrower.borrow,
            clock,
            chance,
            metrics,
        )
        configuration.listeners += [
            self.book.on_configuration,
            self.limits.on_configuration,
            self.lender.on_configuration,
            self.policies.on_configuration,
            self.set_retry_share,
        ]
        shared.view.listeners.append(
            lambda: self.book.on_ring_changed(shared.view.ring_of(box.region))
        )

    def set_retry_share(self, accepted: AcceptedFile) -> None:
        """Take over the share of retries that the operators allow."""
        self.allowance.share = accepted.site.site.retry_allowance
