"""Wires the parts of an entry box: callers on one side, targets on the other."""

from __future__ import annotations

import logging
import random
import time
from functools import partial
from typing import TYPE_CHECKING

import eventlet

from cedarchute.address import Address
from cedarchute.calls.call_dispatcher import CallDispatcher
from cedarchute.calls.key_authenticator import KeyAuthenticator
from cedarchute.calls.plain_call_handler import PlainCallHandler
from cedarchute.calls.program_admission_controller import ProgramAdmissionController
from cedarchute.calls.quota_check import QuotaCheck
from cedarchute.calls.shutdown_deadline import ShutdownDeadline
from cedarchute.calls.stream_call_handler import StreamCallHandler
from cedarchute.calls.target_client import TargetClient
from cedarchute.crashes.crash_watcher import CrashWatcher
from cedarchute.crashes.life_check import LifeCheck
from cedarchute.daemon.crash_parts import make_crash_exchange
from cedarchute.daemon.entry_stop import EntryStop
from cedarchute.daemon.lean_start import let_modules_in
from cedarchute.daemon.listeners import (
    load_server,
    open_listener,
    serve_app,
    serve_metrics,
)
from cedarchute.daemon.loop_lag import LoopLag
from cedarchute.daemon.node_parts import NodeParts
from cedarchute.decisions.key_trust import ProofAgeLimit
from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.holder_contact import HolderContact
from cedarchute.fleet.holder_relay import HolderRelay
from cedarchute.fleet.news_exchange import NewsExchange
from cedarchute.fleet.peer_server import PeerServer
from cedarchute.fleet.relayed_transport import RelayedTransport
from cedarchute.fleet.turned_away import TurnedAway
from cedarchute.placement.paced_selection import PacedSelection
from cedarchute.platform.directory_app import DirectoryApp
from cedarchute.platform.followers import ConfigurationFollower, TargetFollower
from cedarchute.platform.keys import CONFIGURATION, TARGETS
from cedarchute.pressure.byte_gate import ByteGate
from cedarchute.pressure.connection_share_finder import ConnectionShareFinder
from cedarchute.pressure.descriptor_budget import ListenerKind
from cedarchute.pressure.peer_bounds_factory import make_peer_bounds
from cedarchute.relay.answer_limits import AnswerLimits
from cedarchute.relay.caller_server import CallerServer
from cedarchute.relay.input_limits import InputLimits
from cedarchute.relay.target_pool import TargetPool
from cedarchute.routing.active_route_table import ActiveRouteTable
from cedarchute.routing.departure_report import DepartureReport
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.target_placement import TargetPlacement
from cedarchute.routing.target_registry import TargetRegistry
from cedarchute.supervisor import Supervisor
from cedarchute.turns.holder_client import HolderClient
from cedarchute.turns.holder_connections import HolderConnections
from cedarchute.turns.quota_client import QuotaClient
from cedarchute.turns.turn_quorum import TurnQuorum
from cedarchute.waiting.box_line import BoxLine
from cedarchute.waiting.call_order import CallOrder
from cedarchute.waiting.line_order import LineOrder

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.placement.target_report import TargetReport
    from cedarchute.routing.target_entry import TargetEntry
    from cedarchute.settings.load_sections import AnswersSection
    from cedarchute.settings.node_settings import NodeSettings

log = logging.getLogger("cedarchute.daemon")

# Targets and boxes whose entries lapsed are looked for this often.
EXPIRE_SECONDS = 0.2
# Pages are served once there is a configuration, or after this long: what they tell is
# of little use before, and callers under way are served first.
PAGES_WAIT_SECONDS = 0.3
KILOBYTE = 1024
# In the order of the pages of an entry box.
PAGE_KINDS = (ListenerKind.READY, ListenerKind.DIRECTORY, ListenerKind.PEERS)


def make_answer_limits(section: AnswersSection) -> AnswerLimits:
    """Return the limits on answers that settings state."""
    return AnswerLimits(
        section.max_head_kb * KILOBYTE,
        section.max_event_kb * KILOBYTE,
        section.max_held_kb * KILOBYTE,
        section.max_body_mb * KILOBYTE**2,
        section.max_total_mb * KILOBYTE**2,
    )


class EntryBox:
    """A box that callers connect to; it keeps nothing."""

    def __init__(self, settings: NodeSettings, file: str, metrics: Metrics) -> None:
        box = settings.box
        listen = settings.listen
        peers = listen.exchange or str(settings.peers)
        self.settings = settings
        self.metrics = metrics
        self.lag = LoopLag()
        self.routes = ActiveRouteTable(metrics)
        self.supervisor = Supervisor(metrics)
        self.directory = BoxDirectory()
        turned_away = TurnedAway(metrics)
        self.registry = TargetRegistry(self.drop_target, self.directory.is_box)
        shares = ConnectionShareFinder(self.routes, self.registry, self.directory)
        limits = make_answer_limits(settings.answers)
        self.bounds = make_peer_bounds(
            metrics, settings.pressure, box.memory_mb, box.max_descriptors
        )
        held = self.bounds.held
        self.pool = TargetPool(
            metrics,
            shares.find if settings.pressure.share_connections else None,
            limits,
        )
        me = BoxEntry(
            box.name,
            Role.ENTRY,
            box.failure_domain,
            box.region,
            listen.callers,
            peers,
        )
        self.connections = HolderConnections()
        self.news = NewsExchange(box.name, self.shares_knowledge, metrics)
        self.directory.list_isolated = self.news.list_isolated
        followers = {
            CONFIGURATION: ConfigurationFollower(self.routes, turned_away),
            TARGETS: TargetFollower(self.registry, turned_away),
        }
        self.parts = NodeParts(
            settings,
            me,
            self.directory,
            followers,
            turned_away,
            self.supervisor,
            metrics,
            self.news,
        )
        chance = random.Random()
        placement = TargetPlacement(
            PacedSelection(chance), self.news, self.places_by_pace, metrics
        )
        self.choice = LoadBalancer(
            self.registry, box.failure_domain, chance, self.pool.is_warm, placement
        )
        self.news.targets.list_reports = self.report_targets
        trust = ProofAgeLimit(settings.keys.revoke_ms / 1000)
        self.keys = KeyAuthenticator(self.routes, trust, self.parts.prover, metrics)
        holders = HolderClient(self.make_transport(chance), metrics)
        quorum = TurnQuorum(
            self.parts.seats,
            holders,
            box.failure_domain,
            metrics,
            ByteGate(self.bounds.sent_bytes, metrics),
            held,
        )
        quota = QuotaCheck(
            QuotaClient(quorum.fanout, holders, box.name),
            metrics,
            whole_programs=bool(settings.fair_share.whole_programs),
        )
        crashes = make_crash_exchange(self.directory, me, metrics)
        exchange = TargetClient(
            self.pool,
            self.choice,
            self.keys,
            quota,
            metrics,
            held,
            self.make_call_order(),
            CrashWatcher(
                crashes,
                LifeCheck(self.routes.find_health_path, metrics),
                metrics,
                self.registry.find_incarnation,
                self.choice.find_alive_at,
            ),
            limits,
            self.parts.prover,
            self.parts.prover.limits.send_seconds,
        )
        self.registry.describe_calls = DepartureReport(
            self.choice.loads, self.parts.prover, metrics
        ).describe
        self.gate = ProgramAdmissionController(quorum, self.routes, metrics)
        turns = StreamCallHandler(
            exchange,
            quorum,
            self.routes,
            self.gate,
            metrics,
            resumes_streams=bool(settings.streams.resume),
        )
        plain = PlainCallHandler(exchange, metrics)
        shutdown = ShutdownDeadline()
        desk = CallDispatcher(
            self.routes, self.keys, quota, plain, turns, shutdown, metrics, held
        )
        self.server = CallerServer(
            self.listen(listen.callers, file, "callers"),
            desk.handle,
            self.read_limits,
            metrics,
            held,
            self.bounds.limit_connections(ListenerKind.CALLERS),
        )
        self.stop = EntryStop(
            self.server,
            self.parts.registration,
            shutdown,
            settings.stop.grace_seconds,
        )
        self.contact = HolderContact(
            quorum,
            self.parts.registration,
            lambda: self.stop.asked,
            self.tell_contact,
        )
        directory = DirectoryApp(
            self.directory,
            self.is_ready,
            lambda: self.lag.is_behind,
            box.failure_domain,
            box.region,
            lambda: listen.callers if self.keys.is_configuration_stale else "",
        )
        self.apps = [
            (self.listen(listen.ready, file, "ready"), directory),
            (self.listen(listen.directory, file, "directory"), directory),
            (
                self.listen(peers, file, "exchange"),
                PeerServer(
                    self.parts.mirror,
                    metrics,
                    news=self.news,
                    relay=HolderRelay(self.connections, self.directory, metrics),
                    crashes=crashes,
                ),
            ),
        ]
        self.serve_metrics = partial(
            serve_metrics, listen.metrics, metrics, file, self.bounds
        )

    def make_call_order(self) -> CallOrder | None:
        """Return the order in which calls wait, None if it is switched off."""
        waiting = self.settings.waiting
        if not waiting.in_order:
            return None
        line = BoxLine(LineOrder(waiting.max_calls), self.metrics)
        return CallOrder(line, self.routes)

    def shares_knowledge(self) -> bool:
        """Whether boxes of a failure domain tell each other what they know.

        They do where room is contended, or where a stream can't be repeated at another
        target, so that a wrong choice is final.
        """
        if not self.settings.placement.share_knowledge:
            return False
        table = self.routes.table
        if table is None:
            return False
        return self.settings.is_contended or table.has_single_attempt_streams

    def make_transport(self, random_source: random.Random) -> RelayedTransport:
        """Return what reaches holders, through other boxes where it has to."""

        def list_peers() -> list[Address]:
            boxes = self.directory.list_boxes(Role.ENTRY)
            isolated = self.news.list_isolated()
            others = [box for box in boxes if box.name != self.settings.box.name]
            return [Address.parse(b.peers) for b in others if b.name not in isolated]

        return RelayedTransport(
            self.connections,
            list_peers,
            self.shares_knowledge,
            random_source,
            self.metrics,
        )

    def places_by_pace(self, service: str) -> bool:
        """Whether targets of a service are selected by pace and told knowledge."""
        table = self.routes.table
        if table is None or not self.settings.placement.by_pace:
            return False
        return service in table.single_attempt_services

    def report_targets(self) -> tuple[TargetReport, ...]:
        """Return what this box tells others of targets; nothing where none use it."""
        table = self.routes.table
        if table is None or not any(map(self.places_by_pace, table.services)):
            return ()
        return self.choice.list_reports()

    def tell_contact(self, is_isolated: bool) -> None:
        """Tell other boxes whether this one reaches a quorum of holders."""
        if self.shares_knowledge() and self.news.take_own(is_isolated):
            self.parts.reader.tell_news()

    def listen(self, address: str, file: str, key: str) -> object:
        """Open one listener; None when the key is not set."""
        if not address:
            return None
        return open_listener(Address.parse(address), f"{file}: [listen] {key}")

    def drop_target(self, target: TargetEntry) -> None:
        """Close and forget what is kept of a target that is gone."""
        self.pool.drop(target.address)
        self.choice.prune_loads()
        self.gate.forget_target(target.incarnation)

    def read_limits(self) -> InputLimits:
        """Return the bounds on callers' input that are in force."""
        table = self.routes.table
        return table.limits if table else InputLimits(is_configured=False)

    def is_ready(self) -> bool:
        """Whether callers should come here."""
        return self.routes.table is not None and not self.stop.asked

    def ask_stop(self, asked_at: float) -> None:
        """Begin a planned stop, once; its grace began at `asked_at`."""
        self.stop.ask(asked_at)

    def run(self) -> None:
        """Serve until a planned stop is done; callers are served first."""
        self.parts.start()
        self.supervisor.start("contact with holders", self.contact.run_forever)
        self.supervisor.start("lapsed targets", self.expire_forever)
        self.supervisor.start("callers", self.server.serve_forever)
        self.routes.wait(PAGES_WAIT_SECONDS)
        self.serve_pages()
        self.stop.wait()

    def serve_pages(self) -> None:
        """Answer other boxes, the platform and who asks which box to use."""
        load_server()
        let_modules_in()
        for kind, (listener, app) in zip(PAGE_KINDS, self.apps, strict=True):
            if listener is not None:
                serve = partial(serve_app, listener, app, self.bounds, kind)
                self.supervisor.start("pages", serve)
        self.serve_metrics()

    def expire_forever(self) -> None:
        """Drop the targets whose entries did not come back."""
        while True:
            started = time.monotonic()
            eventlet.sleep(EXPIRE_SECONDS)
            self.note_lag(time.monotonic() - started)
            self.registry.expire()

    def note_lag(self, slept_seconds: float) -> None:
        """Take in how late this process woke; log when that changes anything."""
        was_behind = self.lag.is_behind
        self.lag.record_sleep(EXPIRE_SECONDS, slept_seconds)
        if self.lag.is_behind == was_behind:
            return
        log.info(
            "Behind with its work." if self.lag.is_behind else "Work caught up.",
            extra={"lag_ms": round(self.lag.seconds * 1000, 1)},
        )
