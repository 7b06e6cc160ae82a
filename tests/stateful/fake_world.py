from __future__ import annotations

import time

import eventlet
from fake_box import TAKEOVER_SECONDS, FakeBox
from fake_clock import FakeClock
from fake_network import FakeNetwork
from fake_store import FakeStore
from fake_targets import FakeEngines, FakeProbe, FakeService

from cedarchute.copies.owned_partition import PartitionMovedError
from cedarchute.membership.partition_record import PartitionRecord
from cedarchute.problem import Problem
from cedarchute.programs.program_id import parse_partition
from cedarchute.programs.requests import CallRequest, OpenRequest

BOXES = 4
SETTLE_SECONDS = 5.0


class FakeWorld:
    """Some boxes, a store and targets in one process, driven by a test."""

    def __init__(self):
        self.clock = FakeClock()
        self.network = FakeNetwork()
        self.store = FakeStore()
        self.service = FakeService(self.network)
        self.engines = FakeEngines(self.network)
        self.probe = FakeProbe()
        self.boxes = {}
        self.incarnations = {}
        self.old_boxes = []
        for number in range(BOXES):
            self.start(number)
        self.settle()

    @property
    def listed_boxes(self):
        """The records that the store would have under leases."""
        return [
            box.record
            for box in self.boxes.values()
            if not box.is_dead and not box.is_cut
        ]

    def start(self, number):
        incarnation = self.incarnations.get(number, 0) + 1
        self.incarnations[number] = incarnation
        self.boxes[number] = FakeBox(number, incarnation, self)

    def kill(self, number):
        self.old_boxes.append(self.boxes[number])
        self.boxes[number].stop()

    def look(self):
        for box in list(self.boxes.values()):
            box.look()
        eventlet.sleep(0.001)

    def pass_lease(self):
        """Let so much time pass that silent owners are taken over."""
        self.look()
        self.clock.advance(TAKEOVER_SECONDS * 2)
        for _ in range(3):
            self.look()

    def settle(self):
        """Mend everything and wait until every partition has a working owner."""
        self.store.is_down = False
        self.store.lost_replies = 0
        self.network.cut.clear()
        self.service.behaviour = "ok"
        self.service.before = self.service.after = None
        self.engines.is_deaf = False
        for number, box in list(self.boxes.items()):
            if box.is_dead:
                self.start(number)
        deadline = time.monotonic() + SETTLE_SECONDS
        while not self.is_settled():
            assert time.monotonic() < deadline, "the site did not recover"
            self.look()
            self.clock.advance(0.5)

    def is_settled(self):
        live = [box for box in self.boxes.values() if not box.is_dead]
        for entry in self.store.entries.values():
            if "partitions/" not in entry.key:
                continue
            name = entry.key.rpartition("/")[2]
            owners = [
                box
                for box in live
                if name in box.replicator.partitions
                and not box.replicator.partitions[name].is_lost
            ]
            if len(owners) != 1 or owners[0].replicator.partitions[name].is_recovering:
                return False
            programs = owners[0].home.programs.values()
            if any(not p.is_ready or p.open_calls or p.runs for p in programs):
                return False
        return all(box.partitions.own_name in box.replicator.partitions for box in live)

    def find_home(self, program):
        """Return the box that answers for a program as its home, or None."""
        name = parse_partition(program)
        for box in self.boxes.values():
            partition = box.replicator.partitions.get(name)
            if partition is not None and not partition.is_lost and not box.is_dead:
                return box
        return None

    def is_owner(self, port, program):
        """Return whether the store has the box with this port as a program's owner."""
        entry = self.store.entries.get(f"x/partitions/{parse_partition(program)}")
        if entry is None:
            return False
        owner = PartitionRecord.model_validate_json(entry.value).owner
        return owner == f"b{port // 100}.{port % 100}"

    def open(self, number):
        box = self.boxes[number]
        if box.is_dead:
            return None
        try:
            return box.home.open(OpenRequest(workspace="members")).id
        except Problem as problem:
            assert problem.verdict == "not run"
            return None

    def call(self, box, program, key, **request):
        """Return the outcome or the problem of a call; None when it moved."""
        try:
            found = box.home.find(program)
            run = box.runner.start(found, key, CallRequest(**request))
        except PartitionMovedError:
            return None
        except Problem as problem:
            return problem
        with eventlet.Timeout(3.0, False):
            while not run.is_done and not box.is_dead:
                run.wait(0.02)
        if not run.is_done or run.is_moved:
            return None
        return run.problem or run.outcome

    def has_streamed(self, program, key):
        """Return whether an engine was given a call."""
        return any(
            request.startswith(f"{program}:{key}:") for request in self.engines.streams
        )

    def close(self):
        for box in [*self.old_boxes, *self.boxes.values()]:
            box.stop()
