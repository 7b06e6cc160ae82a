from __future__ import annotations

import random

import eventlet

from cedarchute.address import Address
from cedarchute.copies.holder import Holder
from cedarchute.copies.record_storage import MemoryStorage
from cedarchute.copies.replicator import Replicator
from cedarchute.crashes.program_call_crashes import ProgramCallCrashes
from cedarchute.limits.limit_lender import LimitLender
from cedarchute.limits.retry_budget import RetryBudget
from cedarchute.limits.workspace_limits import WorkspaceLimits
from cedarchute.membership.box_record import BoxRecord
from cedarchute.membership.heartbeats import Heartbeats
from cedarchute.membership.lease_keeper import LeaseKeeper
from cedarchute.membership.store_keys import StoreKeys
from cedarchute.membership.store_watcher import StoreWatcher
from cedarchute.membership.view import View
from cedarchute.metrics import Metrics
from cedarchute.operators.accepted_file import AcceptedFile
from cedarchute.operators.configuration import Configuration
from cedarchute.ownership.owner_check import OwnerCheck
from cedarchute.ownership.partition_keeper import PartitionKeeper
from cedarchute.ownership.recovery import Recovery
from cedarchute.ownership.takeover import Takeover
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.programs.cache_migrator import CacheMigrator
from cedarchute.programs.cache_releaser import CacheReleaser
from cedarchute.programs.call_runner import CallRunner
from cedarchute.programs.dispatcher import Dispatcher
from cedarchute.programs.model_caller import ModelCaller
from cedarchute.programs.program_id import parse_partition
from cedarchute.programs.program_registry import ProgramRegistry
from cedarchute.programs.program_resumer import ProgramResumer
from cedarchute.programs.target_chooser import TargetChooser
from cedarchute.scheduling.admission import AdmissionController
from cedarchute.scheduling.prefix_index import PrefixIndex
from cedarchute.scheduling.prefix_pinner import PrefixPinner
from cedarchute.scheduling.program_aware import ProgramAware
from cedarchute.scheduling.target_directory import TargetDirectory
from cedarchute.settings.box_settings import CopiesSection, ServingSection

TAKEOVER_SECONDS = 2.0
SITE = """
[site]
name = fuzz
[service agent]
kind = model
model = small
[service transfer]
kind = plain
repeatable = no
[target engine]
service = agent
address = 127.0.0.1:9001
failure_domain = a
[target transfers]
service = transfer
address = 127.0.0.1:9002
failure_domain = a
[target transfers-2]
service = transfer
address = 127.0.0.1:9003
failure_domain = a
[workspace members]
calls_per_second = 1000000
program_tokens = 100000
"""
ACCEPTED = AcceptedFile(
    revision=1, operation="o", operator="fuzz", applied_at=0.0, text=SITE
)


class FakeBox:
    """The real parts of a box; only clock, store, network and targets are fakes."""

    def __init__(self, number, incarnation, world):
        self.port = 100 * number + incarnation
        self.world = world
        name = f"b{number}"
        clock, network = world.clock, world.network
        self.metrics = metrics = Metrics()
        self.view = View()
        self.record = BoxRecord(
            name=name,
            incarnation=incarnation,
            caller_address=Address("127.0.0.1", self.port),
            peer_address=Address("127.0.0.1", self.port),
            failure_domain="abc"[number % 3],
            region="r",
            holder=f"{name}.{incarnation}",
        )
        store = world.store.client(network, self.port)
        keys = StoreKeys("x/")
        client = network.client(self.port)
        configuration = Configuration(metrics)
        keeper = LeaseKeeper(store, keys, self.view, self.record, 10, clock, metrics)
        self.watcher = StoreWatcher(store, keys, self.view, configuration, clock)
        self.holder = Holder(
            self.record.holder, MemoryStorage(), TAKEOVER_SECONDS, clock, metrics
        )
        copies = CopiesSection(append_seconds=0.1, spare_after_seconds=0.02)
        self.replicator = Replicator(
            self.holder, self.view, client, copies, TAKEOVER_SECONDS, clock, metrics
        )
        book = TargetDirectory(name, "region", 20, clock, metrics)
        lender = LimitLender(configuration, clock)
        limits = WorkspaceLimits(
            configuration,
            lambda: 1,
            lender.handle_borrow,
            clock,
            random.Random(1),
            metrics,
        )
        self.home = ProgramRegistry(
            self.replicator,
            limits,
            AdmissionController(book, configuration, random.Random(1), metrics),
            ServingSection(),
            lambda: self.partitions.own_partition(),
            clock,
            metrics,
        )
        self.partitions = PartitionKeeper(
            store,
            keys,
            self.view,
            keeper,
            self.replicator,
            self.home,
            copies,
            clock,
            metrics,
        )
        engines = world.engines.client(self.port)
        index = PrefixIndex(clock)
        policy = ProgramAware(0.5, index, clock)
        chooser = TargetChooser(
            book, lambda: policy, configuration, "a", clock, random.Random(1)
        )
        holds = PrefixPinner(engines, index, lambda: 0, clock, metrics)
        dispatcher = Dispatcher(
            book,
            chooser,
            ModelCaller(engines, index, holds, configuration, clock, metrics),
            CacheMigrator(engines, book, index, configuration, metrics),
            world.service.client(self.port),
            self.replicator,
            self.home.append,
            RetryBudget(1.0),
            ProgramCallCrashes(world.probe, metrics),
            clock,
            metrics,
        )
        self.runner = CallRunner(
            self.home,
            dispatcher,
            limits,
            configuration,
            clock,
            metrics,
        )
        releaser = CacheReleaser(self.home, book, engines, metrics)
        self.home.ended_listeners.append(releaser.on_ended)
        adopter = ProgramResumer(self.record.identity, self.home, dispatcher, metrics)
        recovery = Recovery(
            self.view, self.holder, self.home, adopter, client, clock, metrics
        )
        check = OwnerCheck(
            self.view, keeper, self.holder, client, TAKEOVER_SECONDS, clock, metrics
        )
        self.takeover = Takeover(
            self.partitions,
            self.view,
            keeper,
            self.holder,
            check,
            recovery,
            TAKEOVER_SECONDS,
            clock,
            metrics,
        )
        heartbeats = Heartbeats(
            self.view, keeper, configuration, client, 1, 3, random.Random(1), print
        )
        configuration.listeners += [book.on_configuration, limits.on_configuration]
        configuration.offer(ACCEPTED, "test")
        network.handlers[self.port] = {
            "append": self.holder.on_append,
            "seal": self.holder.on_seal,
            "read": self.holder.on_read,
            "heartbeat": heartbeats.on_heartbeat,
            "suspect": check.on_suspicion,
            "hand-over": self.takeover.on_hand_over,
        }

    @property
    def is_dead(self):
        return self.port in self.world.network.dead

    @property
    def is_cut(self):
        return self.port in self.world.network.cut

    def find_record(self, program):
        """Return the partition record of a program as this box, its owner, has it."""
        return self.find_partition(program).record

    def find_partition(self, program):
        """Return the partition of a program that this box owns."""
        return self.replicator.partitions[parse_partition(program)]

    def look(self):
        """Do what the box's tasks do in one period."""
        if self.is_dead:
            return
        for record in self.world.listed_boxes:
            self.view.put_box(record)
        for name in list(self.view.boxes):
            if name not in {record.name for record in self.world.listed_boxes}:
                self.view.drop_box(name, self.world.clock.monotonic())
        try:
            for entry in self.watcher.store.list("x/partitions/").entries:
                self.view.put_partition(entry)
            self.partitions.keep_once()
        except StoreUnavailableError:
            pass
        for record in list(self.view.partitions.values()):
            if self.takeover.is_won_unseen(record):
                version = self.view.partition_versions[record.partition]
                self.takeover.begin(record, version, owner_gone=False)
            if self.takeover.may_take(record):
                self.takeover.considering.add(record.partition)
                self.takeover.consider(record)

    def stop(self):
        self.world.network.dead.add(self.port)
        for link in self.replicator.links.values():
            link.stop()
        eventlet.sleep(0)
