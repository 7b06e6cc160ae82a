"""Wires the parts of a holder: records of programs on its disk."""

from __future__ import annotations

import logging
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.clock import SystemClock
from cedarchute.daemon.holder_stop import HolderStop
from cedarchute.daemon.lean_start import let_modules_in
from cedarchute.daemon.listeners import (
    load_server,
    open_listener,
    serve_app,
    serve_metrics,
)
from cedarchute.daemon.node_parts import NodeParts
from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.peer_server import PeerServer
from cedarchute.fleet.turned_away import TurnedAway
from cedarchute.platform.keys import RETIRE
from cedarchute.platform.retirements import Retirements
from cedarchute.pressure.peer_bounds_factory import make_peer_bounds
from cedarchute.supervisor import Supervisor
from cedarchute.turns.absent_holders import AbsentHolders
from cedarchute.turns.catch_up import CatchUp
from cedarchute.turns.disk_identity import DiskIdentity
from cedarchute.turns.durable_file import make_folder
from cedarchute.turns.expiry import Expiry
from cedarchute.turns.group_commit_writer import GroupCommitWriter
from cedarchute.turns.holder import Holder
from cedarchute.turns.holder_app import HolderApp
from cedarchute.turns.holder_client import HolderClient
from cedarchute.turns.pooled_transport import PooledTransport
from cedarchute.turns.quota_server import QuotaServer
from cedarchute.turns.record_exchange import RecordExchange
from cedarchute.turns.record_puller import RecordPuller
from cedarchute.turns.record_source import RecordSource
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_coverage import SeatCoverage
from cedarchute.turns.seat_manager import SeatManager
from cedarchute.turns.seat_version_file import SeatVersionFile
from cedarchute.turns.stop_order import StopOrder
from cedarchute.turns.turn_journal import TurnJournal
from cedarchute.turns.turn_storage import TurnStorage

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.settings.node_settings import NodeSettings

log = logging.getLogger("cedarchute.daemon")

# Programs that are over are forgotten this often.
TIDY_SECONDS: Final = 5.0
# The journal is written anew once this much can be freed: a part of a small disk.
COMPACT_BYTES: Final = 64_000_000


class HolderBox:
    """A box with a disk; only other boxes connect to it."""

    def __init__(self, settings: NodeSettings, file: str, metrics: Metrics) -> None:
        box = settings.box
        self.metrics = metrics
        self.bounds = make_peer_bounds(
            metrics, settings.pressure, box.memory_mb, box.max_descriptors
        )
        self.folder = Path(box.data_folder)
        make_folder(self.folder)
        is_restarted = self.has_known_disk = DiskIdentity.is_stored(self.folder)
        identity = DiskIdentity.load(self.folder)
        self.journal = TurnJournal(self.folder)
        self.book = TurnStorage(GroupCommitWriter(self.journal, metrics))
        peers = str(settings.peers)
        me = BoxEntry(
            box.name,
            Role.HOLDER,
            box.failure_domain,
            box.region,
            "",
            peers,
            identity.disk,
        )
        followers = {}
        self.supervisor = Supervisor(metrics)
        self.parts = NodeParts(
            settings,
            me,
            BoxDirectory(),
            followers,
            TurnedAway(metrics),
            self.supervisor,
            metrics,
        )
        retirements = Retirements(self.parts.store)
        self.parts.mirror.followers[RETIRE] = retirements
        seats = self.parts.seats
        versions = SeatVersionFile(self.folder)
        self.holder = Holder(
            self.book,
            seats,
            identity.disk,
            versions,
            box.name,
            self.bounds.stored_bytes,
        )
        self.holder.is_disk_complete = identity.complete
        client = HolderClient(PooledTransport(), metrics)
        puller = RecordPuller(client, self.book, metrics)
        self.exchange = RecordExchange(puller, seats, self.holder)
        self.coverage = SeatCoverage(
            client, self.parts.store, seats, self.holder, puller
        )
        self.keeper = SeatManager(
            self.parts.store,
            seats,
            self.holder,
            identity,
            self.folder,
            Seat(box.name, peers, identity.disk, box.failure_domain),
            settings.losses.holders,
            CatchUp(puller, seats, metrics),
            self.parts.directory,
            retirements,
            self.coverage,
            AbsentHolders(
                self.parts.directory, client, is_joining=not versions.version
            ),
        )
        self.expiry = Expiry(client, self.book, seats, identity.disk)
        self.listener = open_listener(settings.peers, f"{file}: [box] peer_port")
        quotas = QuotaServer(settings.quotas, SystemClock(), is_restarted=is_restarted)
        source = RecordSource(self.holder)
        app = HolderApp(self.holder, quotas, source, self.coverage)
        self.app = PeerServer(self.parts.mirror, metrics, app)
        self.serve_metrics = partial(
            serve_metrics, settings.listen.metrics, metrics, file, self.bounds
        )
        self.stop = HolderStop(
            self.parts.registration,
            settings.stop.grace_seconds,
            StopOrder(client, seats, self.holder),
        )

    def ask_stop(self, asked_at: float) -> None:
        """Begin a planned stop, once; its grace began at `asked_at`."""
        self.stop.ask(asked_at)

    def run(self) -> None:
        """Serve until a planned stop is done."""
        started = time.monotonic()
        count = self.book.load()
        seconds = round(time.monotonic() - started, 3)
        facts = {
            "records": count,
            "journal_bytes": self.journal.stored_bytes,
            "held_bytes": self.book.held_bytes,
            "seconds": seconds,
            "disk": self.holder.disk,
            "is_known": self.has_known_disk,
            "is_complete": self.holder.is_disk_complete,
            "torn_lines": self.journal.torn_lines,
            "seats_version": self.holder.version_file.version,
        }
        log.info("Disk read.", extra=facts)
        load_server()
        let_modules_in()
        start = self.supervisor.start
        start("pages", partial(serve_app, self.listener, self.app, self.bounds))
        self.serve_metrics()
        self.parts.start()
        start("seat", self.keeper.run_forever)
        start("coverage of seats", self.coverage.run_forever)
        start("exchange of records", self.exchange.run_forever)
        start("programs that are over", self.tidy_forever)
        self.stop.wait()

    def tidy_forever(self) -> None:
        """Forget programs that are over, and keep the journal short and dated."""
        while True:
            eventlet.sleep(TIDY_SECONDS)
            self.book.note_uptime()
            dropped = self.expiry.run_once()
            if dropped:
                log.info("Expired programs dropped.", extra={"programs": dropped})
            is_long = self.book.wasted_bytes > COMPACT_BYTES
            if is_long or self.book.writer.has_failed:
                self.compact()

    def compact(self) -> None:
        """Write the journal anew; one that fails is tried again later."""
        try:
            self.book.compact()
        except OSError as error:
            log.error("Journal not compacted.", extra={"why": str(error)})
