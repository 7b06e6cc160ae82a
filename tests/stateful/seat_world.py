"""Holders, a store and the links between them, all under the control of a test."""

from __future__ import annotations

import contextlib
import json
import tempfile
from pathlib import Path

import msgspec
from msgspec.structs import replace
from seat_box import ProcessStoppedError, SeatBox
from seat_clock import VirtualClock, virtual_time
from seat_losses import SeatLosses
from seat_store import SeatStore

from cedarchute.fleet.followers import SEATS_KEY
from cedarchute.platform.keys import RETIRE_STATUS
from cedarchute.turns.seat import Seat

POLL_SECONDS = 0.25
# How long a recovery may take: several times the longest wait of the seat manager.
RECOVERY_ROUNDS = 160


class Trap:
    """Something that happens once a process has reached so many more points."""

    def __init__(self, name, points, action):
        self.name = name
        self.points = points
        self.action = action


class SeatWorld:
    """The machines of a site, as far as seats and disks go."""

    def __init__(self, losses, holders):
        self.stack = contextlib.ExitStack()
        scratch = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(scratch)
        self.clock = VirtualClock()
        self.stack.enter_context(virtual_time(self.clock, self.replace_file))
        self.losses = losses
        self.store = SeatStore()
        self.disks = SeatLosses(self.store, losses)
        self.boxes = {}
        self.made = 0
        self.cuts = set()
        self.traps = []
        self.next_losses = {}
        self.retiring = set()
        self.log = []
        for _ in range(holders):
            self.add_box()

    def close(self):
        self.stack.close()

    def add_box(self):
        self.made += 1
        box = SeatBox(self, self.made)
        self.boxes[box.name] = box
        box.start()
        return box

    def find_address(self, address):
        return next((b for b in self.boxes.values() if b.address == address), None)

    # Points at which something can happen to a process.

    def reach_point(self, process):
        """Spring the traps of a process, which may stop here."""
        for trap in [t for t in self.traps if t.name == process.name]:
            trap.points -= 1
            if trap.points < 0 and trap in self.traps:
                self.traps.remove(trap)
                trap.action()
        if not process.is_running:
            raise ProcessStoppedError(process)

    def set_trap(self, name, points, action):
        self.traps.append(Trap(name, points, action))

    def replace_file(self, path, data):
        """Replace a small file of a box; its process may stop before or after it."""
        running = [b.process for b in self.boxes.values() if b.folder == path.parent]
        for process in filter(None, running):
            self.reach_point(process)
        path.write_bytes(data)
        for process in filter(None, running):
            self.reach_point(process)

    def take_loss(self, name):
        """Return how the next call of a box is lost: before, after, or not."""
        queued = self.next_losses.get(name)
        return queued.pop(0) if queued else ""

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    # What boxes hear.

    def hear(self, box):
        """Bring a box up to date with the store, if it has a way there."""
        process = box.process
        if process is None or self.is_cut(box.name, "store"):
            return
        process.seats.update(self.store.table, "store")
        present = {
            b.name: b.entry
            for b in self.boxes.values()
            if b.process is not None and not self.is_cut(b.name, "store")
        }
        for name in [n for n in process.directory.known.entries if n not in present]:
            process.directory.known.drop(name)
        for entry in present.values():
            process.directory.put(entry)
        for name in sorted(self.retiring - process.retirements.asked):
            process.retirements.put(name, "{}")

    def write_table_of_earlier_version(self):
        """Replace the table by one that tells nothing of the disks."""
        table = self.store.table
        seats = [Seat(s.box, s.address, s.disk, s.failure_domain) for s in table.seats]
        table = replace(table, version=table.version + 1, seats=tuple(seats))
        self.store.write(SEATS_KEY, msgspec.json.encode(table).decode())

    def hear_old(self, box, index):
        """Let a box hear a table that was in the store once."""
        if box.process is not None:
            tables = self.store.tables
            box.process.seats.update(tables[index % len(tables)], "peer")

    # What happens to machines.

    def step(self, box, hears=True):
        if hears:
            self.hear(box)
        box.step()
        self.disks.note_serving(self.boxes.values())

    def run_rounds(self, rounds, boxes=None):
        """Let all boxes hear and step, one after another, as time passes."""
        for _ in range(rounds):
            self.clock.now += POLL_SECONDS
            for box in list(boxes or self.boxes.values()):
                self.step(box)

    def kill(self, box):
        self.disks.note_serving(self.boxes.values())
        box.kill()

    def wipe(self, box):
        """Lose a disk, unless one more than tolerated; return whether it is lost."""
        self.disks.note_serving(self.boxes.values())
        if not self.disks.may_lose(box.disk):
            return False
        self.disks.lose(box.disk)
        box.wipe()
        return True

    def replace_box(self, box):
        """Remove a machine for good, and add one at another address."""
        if not self.wipe(box):
            return None
        self.remove(box)
        return self.add_box()

    def remove(self, box):
        box.kill()
        del self.boxes[box.name]
        self.retiring.discard(box.name)

    def retire(self, box):
        self.retiring.add(box.name)

    def remove_retired(self):
        """Remove the boxes that said that others have all they hold."""
        for name in sorted(self.retiring):
            status = self.store.entries.get(RETIRE_STATUS + name)
            if status and json.loads(status.value)["State"] == "completed":
                self.remove(self.boxes[name])

    def heal(self):
        """End all faults but those of disks; every machine is up."""
        self.cuts.clear()
        self.traps.clear()
        self.next_losses.clear()
        for box in self.boxes.values():
            box.start()

    def recover(self):
        """End all faults, and give the boxes time; enough of them fill the seats."""
        self.heal()
        self.remove_retired()
        staying = [n for n in self.boxes if n not in self.retiring]
        needed = max(len(self.store.table.seats), 2 * self.losses + 1)
        for _ in range(needed - len(staying)):
            self.add_box()
        for _ in range(RECOVERY_ROUNDS):
            self.run_rounds(1)
            if self.is_settled():
                return

    def is_settled(self):
        """Whether every seat has a holder that serves, and none is being emptied."""
        serving = {b.disk for b in self.boxes.values() if b.process.serves}
        table = self.store.table
        seated = {seat.box for seat in table.seats}
        return (
            table.closed
            and {seat.disk for seat in table.seats} <= serving
            and not seated & self.retiring
        )
