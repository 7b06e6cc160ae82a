"""What answers callers, and what answers boxes and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.border.call_border import CallBorder
from cedarchute.border.caller_app import CallerApp
from cedarchute.border.forwarder import Forwarder
from cedarchute.border.home_follower import HomeFollower
from cedarchute.border.home_locator import HomeLocator
from cedarchute.border.owner_watch import OwnerWatch
from cedarchute.border.run_finder import RunFinder
from cedarchute.border.stream_relay import StreamRelay
from cedarchute.copies.messages import AppendRequest, ReadRequest, SealRequest
from cedarchute.limits.borrow import BorrowRequest
from cedarchute.operators.applier import Applier
from cedarchute.operators.operator_api import OperatorApi
from cedarchute.ownership.hand_over import HandOver
from cedarchute.peers.heartbeat import ConfigurationRequest, Heartbeat, Suspicion
from cedarchute.peers.peer_app import PeerApp
from cedarchute.programs.cache_sweeper import LiveProgramsRequest

if TYPE_CHECKING:
    import random

    from cedarchute.clock import Clock
    from cedarchute.daemon.program_parts import ProgramParts
    from cedarchute.daemon.scheduling_parts import SchedulingParts
    from cedarchute.daemon.shared_parts import SharedParts
    from cedarchute.metrics import Metrics
    from cedarchute.settings.box_settings import BoxSettings


class BorderParts:
    """The applications of both listeners."""

    def __init__(
        self,
        settings: BoxSettings,
        shared: SharedParts,
        scheduling: SchedulingParts,
        programs: ProgramParts,
        chance: random.Random,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.callers = make_callers(settings, shared, programs, chance, clock, metrics)
        self.peers = PeerApp(self.callers, settings.serving.max_body_bytes * 2, metrics)
        add_messages(self.peers, shared, scheduling, programs)
        self.applier = Applier(
            shared.store,
            shared.keys.configuration,
            shared.configuration,
            clock,
            metrics,
        )
        OperatorApi(
            self.applier,
            shared.configuration,
            shared.view,
            shared.keeper,
            shared.client,
            programs.home,
            programs.runner,
            shared.replicator,
            scheduling.book,
            metrics,
        ).register(self.peers)


def make_callers(
    settings: BoxSettings,
    shared: SharedParts,
    programs: ProgramParts,
    chance: random.Random,
    clock: Clock,
    metrics: Metrics,
) -> CallerApp:
    """Return what answers callers."""
    takeover_seconds = settings.membership.takeover_seconds
    locator = HomeLocator(
        shared.view, shared.replicator, shared.keeper, takeover_seconds
    )
    forwarder = Forwarder(shared.view, OwnerWatch(shared.view), metrics)
    finder = RunFinder(programs.home, programs.runner)
    follower = HomeFollower(locator, clock, metrics)
    relay = StreamRelay(
        finder,
        follower,
        forwarder,
        settings.serving.coalesce_seconds,
        clock,
        metrics,
    )
    return CallerApp(
        CallBorder(finder, follower, forwarder, relay, clock),
        follower,
        forwarder,
        programs.runner,
        programs.home,
        shared.view,
        shared.keeper,
        settings.serving,
        chance,
        metrics,
    )


def add_messages(
    peers: PeerApp,
    shared: SharedParts,
    scheduling: SchedulingParts,
    programs: ProgramParts,
) -> None:
    """Name who answers each message between boxes."""
    peers.add_message("append", AppendRequest, shared.holder.on_append)
    peers.add_message("seal", SealRequest, shared.holder.on_seal)
    peers.add_message("read", ReadRequest, shared.holder.on_read)
    peers.add_message("heartbeat", Heartbeat, programs.heartbeats.on_heartbeat)
    peers.add_message(
        "configuration", ConfigurationRequest, programs.heartbeats.on_configuration
    )
    peers.add_message("suspect", Suspicion, programs.check.on_suspicion)
    peers.add_message("hand-over", HandOver, programs.takeover.on_hand_over)
    peers.add_message(
        "lives", LiveProgramsRequest, programs.sweeper.handle_live_programs
    )
    peers.add_message("borrow", BorrowRequest, scheduling.lender.handle_borrow)
