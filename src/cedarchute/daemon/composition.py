"""The one place where the parts of the daemon are wired."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Final

import eventlet
import eventlet.wsgi

from cedarchute.border.call_border import CallBorder
from cedarchute.border.caller_app import CallerApp
from cedarchute.border.forwarder import Forwarder
from cedarchute.border.home_follower import HomeFollower
from cedarchute.border.home_locator import HomeLocator
from cedarchute.border.owner_watch import OwnerWatch
from cedarchute.border.run_finder import RunFinder
from cedarchute.border.stream_relay import StreamRelay
from cedarchute.clock import SystemClock
from cedarchute.copies.disk_storage import DiskStorage
from cedarchute.copies.holder import Holder
from cedarchute.copies.messages import AppendRequest, ReadRequest, SealRequest
from cedarchute.copies.record_storage import MemoryStorage, RecordStorage
from cedarchute.copies.replicator import Replicator
from cedarchute.daemon.active_requests import ActiveRequests
from cedarchute.daemon.daemon import Daemon
from cedarchute.daemon.starting_app import StartingApp
from cedarchute.daemon.stopper import Stopper
from cedarchute.limits.borrow import BorrowRequest
from cedarchute.limits.limit_borrower import LimitBorrower
from cedarchute.limits.limit_lender import LimitLender
from cedarchute.limits.retry_allowance import RetryAllowance
from cedarchute.limits.workspace_limits import WorkspaceLimits
from cedarchute.membership.box_record import BoxRecord
from cedarchute.membership.heartbeats import Heartbeats
from cedarchute.membership.incarnation import take_incarnation
from cedarchute.membership.lease_keeper import LeaseKeeper
from cedarchute.membership.store_keys import StoreKeys
from cedarchute.membership.store_watcher import StoreWatcher
from cedarchute.membership.view import View
from cedarchute.metrics import Metrics
from cedarchute.operators.applier import Applier
from cedarchute.operators.configuration import Configuration
from cedarchute.operators.operator_api import OperatorApi
from cedarchute.operators.store_repairer import StoreRepairer
from cedarchute.ownership.hand_over import HandOver
from cedarchute.ownership.owner_check import OwnerCheck
from cedarchute.ownership.partition_keeper import PartitionKeeper
from cedarchute.ownership.recovery import Recovery
from cedarchute.ownership.takeover import Takeover
from cedarchute.peers.heartbeat import ConfigurationRequest, Heartbeat, Suspicion
from cedarchute.peers.peer_app import PeerApp
from cedarchute.peers.peer_client import PeerClient
from cedarchute.platform.box_list import BoxListWatcher
from cedarchute.platform.store_client import StoreClient
from cedarchute.programs.adopter import Adopter
from cedarchute.programs.cache_mover import CacheMover
from cedarchute.programs.cache_sweeper import CacheSweeper, LivesRequest
from cedarchute.programs.call_runner import CallRunner
from cedarchute.programs.dispatcher import Dispatcher
from cedarchute.programs.home import ProgramHome
from cedarchute.programs.model_caller import ModelCaller
from cedarchute.programs.reaper import Reaper
from cedarchute.programs.releaser import Releaser
from cedarchute.programs.target_chooser import TargetChooser
from cedarchute.scheduling.admission import Admission
from cedarchute.scheduling.load_poller import LoadPoller
from cedarchute.scheduling.policies import PolicyChoice
from cedarchute.scheduling.prefix_index import PrefixIndex
from cedarchute.scheduling.shared_holds import SharedHolds
from cedarchute.scheduling.target_book import TargetBook
from cedarchute.targets.engine_client import EngineClient
from cedarchute.targets.orders.order_keeper import OrderKeeper
from cedarchute.targets.service_client import ServiceClient

if TYPE_CHECKING:
    from pathlib import Path

    from cedarchute.daemon.listeners import Listeners
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.settings.box_settings import BoxSettings

log = logging.getLogger("cedarchute.daemon")

CONNECTIONS: Final = 4096
KEEP_ALIVE_SECONDS: Final = 60


def compose(settings: BoxSettings, listeners: Listeners) -> Daemon:
    """Wire the daemon; returns once the box has its incarnation.

    The listeners answer from the start, with a refusal until the box is ready.
    """
    box = settings.box
    clock = SystemClock()
    random_source = random.Random(f"{box.name}/{clock.wall()}")
    metrics = Metrics(settings.platform.statsd)
    caller_front, peer_front = StartingApp(), StartingApp()
    active = [ActiveRequests(caller_front), ActiveRequests(peer_front)]
    for listener, app in zip((listeners.caller, listeners.peer), active, strict=True):
        eventlet.spawn_n(
            eventlet.wsgi.server,
            listener,
            app,
            log_output=False,
            max_size=CONNECTIONS,
            keepalive=KEEP_ALIVE_SECONDS,
        )

    store = StoreClient(settings.platform.store, metrics)
    keys = StoreKeys(settings.platform.key_prefix)
    incarnation = take_incarnation(store, keys.incarnation(box.name), clock)
    new_holder = f"{box.name}.{incarnation}"
    storage, holder_name = open_storage(box.data_folder, new_holder)
    record = BoxRecord(
        name=box.name,
        incarnation=incarnation,
        caller_address=box.caller_address,
        peer_address=box.peer_address,
        failure_domain=box.failure_domain,
        region=box.region,
        holder=holder_name,
        bulk=box.data_folder is not None,
    )

    view = View()
    configuration = Configuration(metrics)
    client = PeerClient(metrics)
    takeover_seconds = settings.membership.takeover_seconds
    keeper = LeaseKeeper(
        store,
        keys,
        view,
        record,
        settings.membership.lease_seconds,
        clock,
        metrics,
    )
    watcher = StoreWatcher(store, keys, view, configuration, clock)
    holder = Holder(holder_name, storage, takeover_seconds, clock, metrics)
    replicator = Replicator(
        holder, view, client, settings.copies, takeover_seconds, clock, metrics
    )

    book = TargetBook(
        box.name, box.region, settings.serving.subset_targets, clock, metrics
    )
    engines = EngineClient(metrics)
    poller = LoadPoller(
        book, configuration, engines, settings.serving.load_seconds, random_source
    )
    prefix_index = PrefixIndex(clock)
    policies = PolicyChoice(prefix_index, clock)
    shared_holds = SharedHolds(
        engines,
        prefix_index,
        lambda: configuration.site.site.hold_shared_seconds,
        clock,
        metrics,
    )
    allowance = RetryAllowance(0.1)
    lender = LimitLender(configuration, clock)
    limits = WorkspaceLimits(
        configuration,
        lambda: len(view.entries),
        LimitBorrower(box.name, view, lender, client).borrow,
        clock,
        random_source,
        metrics,
    )

    home = ProgramHome(
        replicator,
        limits,
        Admission(book, configuration, random_source, metrics),
        settings.serving,
        lambda: partitions.own_partition(),
        clock,
        metrics,
    )
    partitions = PartitionKeeper(
        store, keys, view, keeper, replicator, home, settings.copies, clock, metrics
    )
    chooser = TargetChooser(
        book, policies.current, configuration, box.failure_domain, clock, random_source
    )
    dispatcher = Dispatcher(
        book,
        chooser,
        ModelCaller(engines, prefix_index, shared_holds, configuration, clock, metrics),
        CacheMover(engines, book, prefix_index, configuration, metrics),
        ServiceClient(),
        replicator,
        home.append,
        allowance,
        clock,
        metrics,
    )
    runner = CallRunner(home, dispatcher, limits, configuration, clock, metrics)
    adopter = Adopter(record.identity, home, dispatcher, metrics)
    reaper = Reaper(home, settings.serving, clock)
    releaser = Releaser(home, book, engines, metrics)
    home.ended_listeners.append(releaser.on_ended)
    sweeper = CacheSweeper(
        box.name,
        view,
        home,
        configuration,
        engines,
        client,
        settings.serving.sweep_seconds,
        clock,
        metrics,
    )
    check = OwnerCheck(view, keeper, holder, client, takeover_seconds, clock, metrics)
    recovery = Recovery(view, holder, home, adopter, client, clock, metrics)
    takeover = Takeover(
        partitions,
        view,
        keeper,
        holder,
        check,
        recovery,
        takeover_seconds,
        clock,
        metrics,
    )
    heartbeats = Heartbeats(
        view,
        keeper,
        configuration,
        client,
        settings.membership.heartbeat_seconds,
        settings.membership.heartbeat_peers,
        random_source,
        check.suspect,
    )

    locator = HomeLocator(view, replicator, keeper, takeover_seconds)
    forwarder = Forwarder(view, OwnerWatch(view), metrics)
    finder = RunFinder(home, runner)
    follower = HomeFollower(locator, clock, metrics)
    relay = StreamRelay(
        finder,
        follower,
        forwarder,
        settings.serving.coalesce_seconds,
        clock,
        metrics,
    )
    calls = CallBorder(finder, follower, forwarder, relay, clock)
    callers = CallerApp(
        calls,
        follower,
        forwarder,
        runner,
        home,
        view,
        keeper,
        settings.serving,
        random_source,
        metrics,
    )
    applier = Applier(store, keys.configuration, configuration, clock, metrics)
    peers = PeerApp(callers, settings.serving.max_body_bytes * 2, metrics)
    peers.add_message("append", AppendRequest, holder.on_append)
    peers.add_message("seal", SealRequest, holder.on_seal)
    peers.add_message("read", ReadRequest, holder.on_read)
    peers.add_message("heartbeat", Heartbeat, heartbeats.on_heartbeat)
    peers.add_message(
        "configuration", ConfigurationRequest, heartbeats.on_configuration
    )
    peers.add_message("suspect", Suspicion, check.on_suspicion)
    peers.add_message("hand-over", HandOver, takeover.on_hand_over)
    peers.add_message("lives", LivesRequest, sweeper.on_lives)
    peers.add_message("borrow", BorrowRequest, lender.on_borrow)
    OperatorApi(
        applier,
        configuration,
        view,
        keeper,
        client,
        home,
        runner,
        replicator,
        book,
        metrics,
    ).register(peers)

    def on_configuration(accepted: AcceptedFile) -> None:
        allowance.share = accepted.site.site.retry_allowance

    configuration.listeners += [
        book.on_configuration,
        limits.on_configuration,
        lender.on_configuration,
        policies.on_configuration,
        on_configuration,
    ]
    view.listeners.append(lambda: book.on_ring(view.ring_of(box.region)))
    stopper = Stopper(keeper, view, partitions, client, active, settings.serving, clock)

    def open_fronts() -> None:
        caller_front.app = callers
        peer_front.app = peers

    orders = OrderKeeper(
        store,
        keys,
        view,
        keeper,
        configuration,
        engines,
        settings.serving.order_seconds,
        clock,
        metrics,
    )
    repairer = StoreRepairer(applier, lambda: len(view.entries), random_source)
    tasks = [
        keeper.renew_forever,
        watcher.watch_forever,
        heartbeats.beat_forever,
        poller.poll_forever,
        partitions.keep_forever,
        takeover.watch_forever,
        reaper.reap_forever,
        sweeper.sweep_forever,
        orders.order_forever,
        repairer.repair_forever,
    ]
    if settings.platform.box_list is not None:
        box_list = BoxListWatcher(
            settings.platform.box_list, box.name, view, book, stopper.ask, metrics
        )
        tasks.append(box_list.watch_forever)
    return Daemon(
        keeper=keeper,
        watcher=watcher,
        heartbeats=heartbeats,
        stopper=stopper,
        open_fronts=open_fronts,
        tasks=tasks,
    )


def open_storage(folder: Path | None, new_holder: str) -> tuple[RecordStorage, str]:
    """Return where copies are kept, and the name of the holder they belong to."""
    if folder is None:
        return MemoryStorage(), new_holder
    storage = DiskStorage(folder)
    return storage, storage.name_holder(new_holder)
