"""What looks after programs: their home, their calls, who takes them over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.crashes.program_call_crashes import ProgramCallCrashes
from cedarchute.membership.heartbeats import Heartbeats
from cedarchute.ownership.owner_check import OwnerCheck
from cedarchute.ownership.partition_keeper import PartitionKeeper
from cedarchute.ownership.recovery import Recovery
from cedarchute.ownership.takeover import Takeover
from cedarchute.programs.cache_migrator import CacheMigrator
from cedarchute.programs.cache_releaser import CacheReleaser
from cedarchute.programs.cache_sweeper import CacheSweeper
from cedarchute.programs.call_runner import CallRunner
from cedarchute.programs.dispatcher import Dispatcher
from cedarchute.programs.model_caller import ModelCaller
from cedarchute.programs.program_registry import ProgramRegistry
from cedarchute.programs.program_resumer import ProgramResumer
from cedarchute.programs.reaper import Reaper
from cedarchute.programs.target_chooser import TargetChooser
from cedarchute.relay.target_probe import TargetProbe
from cedarchute.scheduling.admission import AdmissionController
from cedarchute.targets.service_client import ServiceClient

if TYPE_CHECKING:
    import random

    from cedarchute.clock import Clock
    from cedarchute.daemon.scheduling_parts import SchedulingParts
    from cedarchute.daemon.shared_parts import SharedParts
    from cedarchute.metrics import Metrics
    from cedarchute.settings.box_settings import BoxSettings


class ProgramParts:
    """Programs of this box, and of boxes that are gone."""

    def __init__(
        self,
        settings: BoxSettings,
        shared: SharedParts,
        scheduling: SchedulingParts,
        chance: random.Random,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.home = ProgramRegistry(
            shared.replicator,
            scheduling.limits,
            AdmissionController(scheduling.book, shared.configuration, chance, metrics),
            settings.serving,
            lambda: self.partitions.own_partition(),
            clock,
            metrics,
        )
        self.partitions = PartitionKeeper(
            shared.store,
            shared.keys,
            shared.view,
            shared.keeper,
            shared.replicator,
            self.home,
            settings.copies,
            clock,
            metrics,
        )
        self.dispatcher = self.make_dispatcher(
            settings, shared, scheduling, chance, clock, metrics
        )
        self.runner = CallRunner(
            self.home,
            self.dispatcher,
            scheduling.limits,
            shared.configuration,
            clock,
            metrics,
        )
        self.reaper = Reaper(self.home, settings.serving, clock)
        self.releaser = CacheReleaser(
            self.home, scheduling.book, scheduling.engines, metrics
        )
        self.home.ended_listeners.append(self.releaser.on_ended)
        self.sweeper = CacheSweeper(
            settings.box.name,
            shared.view,
            self.home,
            shared.configuration,
            scheduling.engines,
            shared.client,
            settings.serving.sweep_seconds,
            clock,
            metrics,
        )
        self.check = OwnerCheck(
            shared.view,
            shared.keeper,
            shared.holder,
            shared.client,
            settings.membership.takeover_seconds,
            clock,
            metrics,
        )
        self.takeover = self.make_takeover(settings, shared, clock, metrics)
        self.heartbeats = Heartbeats(
            shared.view,
            shared.keeper,
            shared.configuration,
            shared.client,
            settings.membership.heartbeat_seconds,
            settings.membership.heartbeat_peers,
            chance,
            self.check.suspect,
        )

    def make_dispatcher(
        self,
        settings: BoxSettings,
        shared: SharedParts,
        scheduling: SchedulingParts,
        chance: random.Random,
        clock: Clock,
        metrics: Metrics,
    ) -> Dispatcher:
        """Return what sends calls to targets."""
        configuration = shared.configuration
        chooser = TargetChooser(
            scheduling.book,
            scheduling.policies.current,
            configuration,
            settings.box.failure_domain,
            clock,
            chance,
        )
        model_caller = ModelCaller(
            scheduling.engines,
            scheduling.prefix_index,
            scheduling.shared_holds,
            configuration,
            clock,
            metrics,
        )
        mover = CacheMigrator(
            scheduling.engines,
            scheduling.book,
            scheduling.prefix_index,
            configuration,
            metrics,
        )
        return Dispatcher(
            scheduling.book,
            chooser,
            model_caller,
            mover,
            ServiceClient(),
            shared.replicator,
            self.home.append,
            scheduling.allowance,
            ProgramCallCrashes(TargetProbe(), metrics),
            clock,
            metrics,
        )

    def make_takeover(
        self,
        settings: BoxSettings,
        shared: SharedParts,
        clock: Clock,
        metrics: Metrics,
    ) -> Takeover:
        """Return what takes over the programs of boxes that are gone."""
        identity = shared.record.identity
        adopter = ProgramResumer(identity, self.home, self.dispatcher, metrics)
        recovery = Recovery(
            shared.view,
            shared.holder,
            self.home,
            adopter,
            shared.client,
            clock,
            metrics,
        )
        return Takeover(
            self.partitions,
            shared.view,
            shared.keeper,
            shared.holder,
            self.check,
            recovery,
            settings.membership.takeover_seconds,
            clock,
            metrics,
        )
