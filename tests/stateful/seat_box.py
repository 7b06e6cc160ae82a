"""A holder of real parts, on a folder, whose process can stop at any point."""

from __future__ import annotations

import shutil
import zlib
from types import SimpleNamespace

import msgspec
from seat_store import SeatStoreClient

from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.metrics import Metrics
from cedarchute.platform.retirements import Retirements
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.turns import seat_manager
from cedarchute.turns.absent_holders import AbsentHolders
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.catch_up import CatchUp
from cedarchute.turns.disk_identity import DiskIdentity
from cedarchute.turns.expiry import Expiry
from cedarchute.turns.group_commit_writer import GroupCommitWriter
from cedarchute.turns.holder import Holder
from cedarchute.turns.holder_app import HolderApp
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.record_exchange import RecordExchange
from cedarchute.turns.record_puller import RecordPuller
from cedarchute.turns.record_source import RecordSource
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_coverage import SeatCoverage
from cedarchute.turns.seat_manager import SeatManager
from cedarchute.turns.seat_version_file import SeatVersionFile
from cedarchute.turns.turn_journal import TurnJournal
from cedarchute.turns.turn_storage import TurnStorage


class ProcessStoppedError(BaseException):
    """A process stopped between two steps."""

    def __init__(self, process):
        super().__init__(process.name)
        self.process = process


class BoxClient:
    """The way of one process to the holders."""

    def __init__(self, world, process):
        self.world = world
        self.process = process

    def ask(self, address, path, message, answer, timeout=None):
        self.world.reach_point(self.process)
        box = self.world.find_address(address)
        loss = self.world.take_loss(self.process.name)
        if box is None or box.process is None or loss == "before":
            raise HolderUnavailableError(address)
        if self.world.is_cut(self.process.name, box.name):
            raise HolderUnavailableError(address)
        asked = box.process
        try:
            status, reply = asked.app.answer(path, msgspec.json.encode(message))
        except ProcessStoppedError as stop:
            if stop.process is not asked:
                raise
            box.kill()
            raise HolderUnavailableError(address) from None
        self.world.reach_point(self.process)
        if loss == "after":
            raise HolderUnavailableError(address)
        if status != "200 OK":
            assert not reply.reason.startswith("fault"), reply.reason
            raise HolderRefusedError(reply)
        return msgspec.json.decode(msgspec.json.encode(reply), type=answer)


class DirectWriter(GroupCommitWriter):
    """Writes at once: no other thread runs in these tests."""

    def __init__(self, process, journal):
        super().__init__(journal, Metrics())
        self.process = process

    def wait_written(self):
        if not self.process.is_running:
            raise ProcessStoppedError(self.process)
        lines, self.lines = self.lines, []
        starts_segment, self.starts_segment = self.starts_segment, False
        self.journal.write(b"".join(lines), starts_segment)
        return self.journal.sequence


class HolderProcess:
    """The parts of a holder, wired as the daemon wires them."""

    def __init__(self, world, box):
        self.name = box.name
        self.is_running = True
        box.starts += 1
        identity = DiskIdentity.load(box.folder)
        self.disk = identity.disk
        storage = TurnStorage(DirectWriter(self, TurnJournal(box.folder)))
        storage.load()
        self.storage = storage
        self.seats = ActiveSeatTable()
        self.directory = BoxDirectory()
        store = SeatStoreClient(world, self)
        client = BoxClient(world, self)
        self.retirements = Retirements(store)
        versions = SeatVersionFile(box.folder)
        self.holder = Holder(storage, self.seats, self.disk, versions, box.name)
        self.holder.is_disk_complete = identity.complete
        puller = RecordPuller(client, storage, Metrics())
        self.exchange = RecordExchange(puller, self.seats, self.holder)
        self.coverage = SeatCoverage(client, store, self.seats, self.holder, puller)
        self.manager = SeatManager(
            store,
            self.seats,
            self.holder,
            identity,
            box.folder,
            Seat(box.name, box.address, self.disk, box.name),
            world.losses,
            CatchUp(puller, self.seats, Metrics()),
            self.directory,
            self.retirements,
            self.coverage,
            AbsentHolders(self.directory, client, is_joining=not versions.version),
        )
        share = zlib.crc32(box.name.encode()) / 2**32
        self.manager.join_at = world.clock.now + share * seat_manager.JITTER_SECONDS
        self.expiry = Expiry(client, storage, self.seats, self.disk)
        source = RecordSource(self.holder)
        quotas = SimpleNamespace(ask=None)
        self.app = HolderApp(self.holder, quotas, source, self.coverage)

    @property
    def serves(self):
        return self.is_running and self.holder.caught_up


class SeatBox:
    """A machine with a disk, at an address of its own."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"box-{number}"
        self.address = f"10.0.0.{number}:70"
        self.process = None
        self.is_stepping = False
        self.disks = 0
        self.new_disk()

    def new_disk(self):
        self.disks += 1
        self.starts = 0
        self.folder = self.world.folder / f"{self.name}-{self.disks}"
        self.folder.mkdir()
        self.disk = DiskIdentity.load(self.folder).disk

    def start(self):
        if self.process is None:
            self.process = HolderProcess(self.world, self)

    def kill(self):
        if self.process is not None:
            self.process.is_running = False
            self.process.storage.writer.journal.close_segment()
            self.process = None

    def wipe(self):
        """Lose the disk; the machine has another, empty one afterwards."""
        self.kill()
        shutil.rmtree(self.folder)
        self.new_disk()

    @property
    def entry(self):
        name = self.name
        return BoxEntry(name, Role.HOLDER, name, "region", "", self.address, self.disk)

    def run(self, action):
        """Run a part of the process, which may stop on the way."""
        process = self.process
        if process is None or self.is_stepping:
            return
        self.is_stepping = True
        try:
            action(process)
        except StoreUnavailableError:
            pass
        except ProcessStoppedError as stop:
            if stop.process is not process:
                raise
            if self.process is process:
                self.kill()
        finally:
            self.is_stepping = False

    def step(self):
        self.run(lambda process: process.manager.step())
        self.run(lambda process: process.coverage.step())

    def exchange(self):
        self.run(lambda process: process.exchange.step())

    def drop_expired(self):
        self.run(lambda process: process.expiry.run_once())
