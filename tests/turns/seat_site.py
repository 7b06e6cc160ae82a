"""Holders with their seat managers in one process, on a store and a clock of a test."""

from __future__ import annotations

from types import SimpleNamespace

import msgspec

from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.followers import read_seats
from cedarchute.metrics import Metrics
from cedarchute.platform.store_entry import StoreEntry, SwapResult
from cedarchute.turns.absent_holders import AbsentHolders
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.catch_up import CatchUp
from cedarchute.turns.disk_identity import DiskIdentity
from cedarchute.turns.group_commit_writer import GroupCommitWriter
from cedarchute.turns.holder import Holder
from cedarchute.turns.holder_app import HolderApp
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.messages import Refused
from cedarchute.turns.record_exchange import RecordExchange
from cedarchute.turns.record_puller import RecordPuller
from cedarchute.turns.record_source import RecordSource
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_coverage import SeatCoverage
from cedarchute.turns.seat_manager import SeatManager
from cedarchute.turns.seat_version_file import SeatVersionFile
from cedarchute.turns.turn_journal import TurnJournal
from cedarchute.turns.turn_quorum import TurnQuorum
from cedarchute.turns.turn_storage import TurnStorage

LONGER_THAN_ANY_WAIT = 30.0


class SeatStore:
    """The store's one key of seats."""

    def __init__(self):
        self.entry = None

    def get(self, key):
        return self.entry

    def swap(self, key, value, expected):
        if (self.entry.version if self.entry else 0) != expected:
            return SwapResult(False, self.entry)
        self.entry = StoreEntry(key, value, expected + 1)
        return SwapResult(True, self.entry)


class DirectJournal(TurnJournal):
    """Writes in the calling thread."""

    def append(self, lines, in_new_segment=False):
        self.write(b"".join(lines), in_new_segment)
        return self.sequence


class SeatBox:
    """One process of a holder."""

    def __init__(self, site, name, folder):
        self.name = name
        identity = DiskIdentity.load(folder)
        self.disk = identity.disk
        writer = GroupCommitWriter(DirectJournal(folder), Metrics())
        self.storage = TurnStorage(writer)
        self.storage.load()
        self.seats = ActiveSeatTable()
        versions = SeatVersionFile(folder)
        self.holder = Holder(self.storage, self.seats, self.disk, versions, name)
        self.holder.is_disk_complete = identity.complete
        puller = RecordPuller(site, self.storage, Metrics())
        self.exchange = RecordExchange(puller, self.seats, self.holder)
        self.coverage = SeatCoverage(site, site.store, self.seats, self.holder, puller)
        source = RecordSource(self.holder)
        quotas = SimpleNamespace(ask=None)
        self.app = HolderApp(self.holder, quotas, source, self.coverage)
        self.manager = SeatManager(
            site.store,
            self.seats,
            self.holder,
            identity,
            folder,
            Seat(name, site.find_address(name), self.disk, name),
            site.losses,
            CatchUp(puller, self.seats, Metrics()),
            site.directory,
            site.retirements,
            self.coverage,
            AbsentHolders(site.directory, site),
        )


class SeatSite:
    """The boxes, and the way between them."""

    def __init__(self, folder, clock, losses=1):
        self.folder = folder
        self.clock = clock
        self.losses = losses
        self.store = SeatStore()
        self.directory = BoxDirectory()
        self.retired = []
        self.retirements = SimpleNamespace(
            asked=set(),
            tell_started=lambda box: None,
            tell_completed=self.retired.append,
        )
        self.boxes = {}
        self.addresses = {}
        self.watch = lambda path, message: None

    @property
    def table(self):
        return read_seats(self.store.entry.value)

    def find_address(self, name):
        number = len(self.addresses) + 1
        return self.addresses.setdefault(name, f"127.0.0.1:{number}")

    def start(self, *names):
        for name in names:
            folder = self.folder / name
            folder.mkdir(exist_ok=True)
            self.boxes[name] = SeatBox(self, name, folder)
            peers = self.find_address(name)
            entry = BoxEntry(name, Role.HOLDER, name, "region", "", peers)
            self.directory.put(entry)

    def kill(self, *names):
        """End processes; their entries lapse."""
        for name in names:
            del self.boxes[name]
            self.directory.known.drop(name)

    def wipe(self, *names):
        """Take the disks of boxes that are down."""
        for name in names:
            for path in (self.folder / name).iterdir():
                path.unlink()

    def step(self, seconds=0.0, only=None):
        """Let boxes see the store and act, the named ones or all, after a pause."""
        self.clock.now += seconds
        for name in only or sorted(self.boxes):
            box = self.boxes[name]
            if self.store.entry is not None:
                box.seats.update(self.table, "store")
            box.manager.step()
            box.coverage.step()

    def settle(self, steps=12, seconds=1.0):
        """Let time go on until every wait is over."""
        for _ in range(steps):
            self.step(seconds)

    def form(self, *names):
        """Start the holders of a new system, and close their table."""
        self.start(*names)
        self.settle()
        assert self.table.closed
        assert [box.holder.caught_up for box in self.boxes.values()] == [True] * len(
            names
        )

    def ask(self, address, path, message, answer, timeout=None):
        """Carry a message as `HolderClient` does."""
        self.watch(path, message)
        names = {a: name for name, a in self.addresses.items()}
        if names[address] not in self.boxes:
            raise HolderUnavailableError(address)
        body = msgspec.json.encode(message)
        status, result = self.boxes[names[address]].app.answer(path, body)
        encoded = msgspec.json.encode(result)
        if not status.startswith("200"):
            raise HolderRefusedError(msgspec.json.decode(encoded, type=Refused))
        return msgspec.json.decode(encoded, type=answer)

    def quorum(self):
        """Return what an entry with the newest table asks."""
        seats = ActiveSeatTable()
        seats.update(self.table, "test")
        return TurnQuorum(seats, self, "", Metrics())

    def keep(self, turn):
        """Store a turn at a quorum of those that are up."""
        self.quorum().write(turn)
        return turn

    def read(self, turn):
        """Return the text of a kept turn."""
        return self.quorum().chains.read_previous(turn.program, turn.turn, {}).text
