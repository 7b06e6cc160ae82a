"""The one place where the parts of the daemon are wired.

The parts of one concern stand together: `SharedParts`, `SchedulingParts`,
`ProgramParts` and `BorderParts`, each made from those before it.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import eventlet

from cedarchute.clock import SystemClock
from cedarchute.daemon.active_requests import ActiveRequests
from cedarchute.daemon.border_parts import BorderParts
from cedarchute.daemon.daemon import Daemon
from cedarchute.daemon.listeners import serve_app
from cedarchute.daemon.program_parts import ProgramParts
from cedarchute.daemon.scheduling_parts import SchedulingParts
from cedarchute.daemon.shared_parts import SharedParts
from cedarchute.daemon.starting_app import StartingApp
from cedarchute.daemon.stopper import Stopper
from cedarchute.metrics import Metrics
from cedarchute.operators.store_repairer import StoreRepairer
from cedarchute.platform.box_list import BoxListWatcher
from cedarchute.pressure.descriptor_budget import ListenerKind
from cedarchute.pressure.peer_bounds_factory import make_peer_bounds
from cedarchute.targets.orders.engine_reconciler import EngineReconciler

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.daemon.listeners import Listeners
    from cedarchute.daemon.stop_request import StopRequest
    from cedarchute.settings.box_settings import BoxSettings


def compose(settings: BoxSettings, listeners: Listeners, stop: StopRequest) -> Daemon:
    """Wire the daemon; returns once the box has its incarnation.

    The listeners answer from the start, with a refusal until the box is ready.

    Raises
    ------
    StopAskedError
        When a planned stop is asked for while the store is unavailable.
    """
    clock = SystemClock()
    chance = random.Random(f"{settings.box.name}/{clock.wall()}")
    metrics = Metrics(settings.platform.statsd)
    caller_front, peer_front = StartingApp(), StartingApp()
    callers, peers = ActiveRequests(caller_front), ActiveRequests(peer_front)
    active = [callers, peers]
    bounds = make_peer_bounds(metrics)
    eventlet.spawn_n(serve_app, listeners.caller, callers, bounds, ListenerKind.CALLERS)
    eventlet.spawn_n(serve_app, listeners.peer, peers, bounds, ListenerKind.PEERS)

    shared = SharedParts(settings, clock, metrics, stop)
    scheduling = SchedulingParts(settings, shared, chance, clock, metrics)
    programs = ProgramParts(settings, shared, scheduling, chance, clock, metrics)
    border = BorderParts(settings, shared, scheduling, programs, chance, clock, metrics)
    stopper = Stopper(
        shared.keeper,
        shared.view,
        programs.partitions,
        shared.client,
        active,
        settings.serving,
        clock,
        stop,
    )

    def open_fronts() -> None:
        caller_front.app = border.callers
        peer_front.app = border.peers

    repairer = StoreRepairer(border.applier, lambda: len(shared.view.entries), chance)
    tasks = [
        shared.keeper.renew_forever,
        shared.watcher.watch_forever,
        programs.heartbeats.beat_forever,
        scheduling.poller.poll_forever,
        programs.partitions.keep_forever,
        programs.takeover.watch_forever,
        programs.reaper.reap_forever,
        programs.sweeper.sweep_forever,
        make_orders(settings, shared, scheduling, clock, metrics).order_forever,
        repairer.repair_forever,
    ]
    if settings.platform.box_list is not None:
        box_list = BoxListWatcher(
            settings.platform.box_list,
            settings.box.name,
            shared.view,
            scheduling.book,
            stop.ask,
            metrics,
        )
        tasks.append(box_list.watch_forever)
    return Daemon(
        keeper=shared.keeper,
        watcher=shared.watcher,
        heartbeats=programs.heartbeats,
        stopper=stopper,
        open_fronts=open_fronts,
        tasks=tasks,
    )


def make_orders(
    settings: BoxSettings,
    shared: SharedParts,
    scheduling: SchedulingParts,
    clock: Clock,
    metrics: Metrics,
) -> EngineReconciler:
    """Return what orders targets to be as the operators' file says."""
    return EngineReconciler(
        shared.store,
        shared.keys,
        shared.view,
        shared.keeper,
        shared.configuration,
        scheduling.engines,
        settings.serving.order_seconds,
        clock,
        metrics,
    )
