"""Turns and budgets on quorums, against an oracle, while holders are lost.

The holders, their journals and the quorum are the real ones; only the calls between
them go through a table here, which loses some of them before or after their effect.
"""

from __future__ import annotations

import contextlib
import tempfile
from pathlib import Path

import eventlet
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cedarchute.metrics import Metrics
from cedarchute.turns import holder_fanout, turn_quorum
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.catch_up import CatchUp
from cedarchute.turns.chain_reader import NoSuchTurnError
from cedarchute.turns.group_commit_writer import GroupCommitWriter
from cedarchute.turns.holder import Holder, HolderError
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.messages import Refused
from cedarchute.turns.record_puller import RecordPuller
from cedarchute.turns.record_source import RecordSource
from cedarchute.turns.records import Settled, Turn
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable
from cedarchute.turns.seat_version_file import SeatVersionFile
from cedarchute.turns.turn_journal import TurnJournal
from cedarchute.turns.turn_quorum import BudgetSpentError, TurnQuorum
from cedarchute.turns.turn_storage import TurnStorage

BUDGET = 100
MOST = 30
LONG_SECONDS = 1000.0
PROGRAMS = ("p", "q")
MODES = st.sampled_from(("up", "down", "lost_before", "lost_after"))


@pytest.fixture(scope="module", autouse=True)
def no_waiting():
    """Holders here answer at once or not at all: one round tells everything.

    No decision may hang on the clock: on a busy machine a step takes longer than any
    short limit, and the same steps would end otherwise the next time. A pause longer
    than the time of a question ends it after one round, without waiting.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(turn_quorum, "ANSWER_SECONDS", LONG_SECONDS)
        patch.setattr(turn_quorum, "FINISH_SECONDS", LONG_SECONDS)
        patch.setattr(holder_fanout, "RETRY_DELAY_SECONDS", 2 * LONG_SECONDS)
        patch.setattr(holder_fanout, "HEDGE_SECONDS", LONG_SECONDS)
        patch.setattr(holder_fanout, "LATE_SECONDS", LONG_SECONDS)
        patch.setattr(holder_fanout, "ISOLATED_AFTER_SECONDS", LONG_SECONDS)
        patch.setattr(holder_fanout, "PREFERRED_WAIT_SECONDS", 0.0)
        yield


class DirectJournal(TurnJournal):
    """Writes in the calling thread: no other thread runs in this test."""

    def append(self, lines, in_new_segment=False):
        self.write(b"".join(lines), in_new_segment)
        return self.sequence


class FakeHolder:
    """A holder with a disk that can be lost, and a process that can be killed."""

    def __init__(self, folder, box, number):
        self.folder = folder
        self.box = box
        self.disks = number * 1000
        self.mode = "up"
        self.seats = ActiveSeatTable()
        self.new_disk()
        self.mark_complete()

    def new_disk(self):
        self.disks += 1
        self.is_complete = False
        self.disk = f"{self.box}-{self.disks}"
        (self.folder / self.disk).mkdir()
        self.start()

    def start(self):
        journal = DirectJournal(self.folder / self.disk)
        self.book = TurnStorage(GroupCommitWriter(journal, Metrics()))
        self.book.load()
        seen = SeatVersionFile(self.folder / self.disk)
        self.holder = Holder(self.book, self.seats, self.disk, seen, self.box)
        self.source = RecordSource(self.holder)

    def mark_complete(self):
        self.is_complete = True
        self.holder.caught_up = True

    def restart(self):
        """Start again; a complete disk serves once `serve` is called."""
        self.start()
        self.holder.is_disk_complete = self.is_complete

    def serve(self):
        self.holder.caught_up = self.is_complete

    @property
    def seat(self):
        return Seat(self.box, self.box, self.disk, self.box)


class FakeClient:
    """Carries messages to the holders, as far as they can be reached."""

    def __init__(self, holders):
        self.holders = holders

    def ask(self, address, path, message, answer):
        target = self.holders[address]
        if target.mode in ("down", "lost_before"):
            raise HolderUnavailableError(address)
        name = {
            "/turns/begin": "begin_turn",
            "/turns/take": "take_records",
            "/turns/account": "read_account",
            "/turns/chain": "read_chain",
            "/turns/index": "list_records",
            "/turns/read": "read_turns",
        }[path]
        part = target.source if hasattr(target.source, name) else target.holder
        try:
            result = getattr(part, name)(message)
        except HolderError as error:
            refusal = Refused(error.reason, error.table, error.is_empty)
            raise HolderRefusedError(refusal) from None
        if target.mode == "lost_after":
            raise HolderUnavailableError(address)
        return result


class QuorumMachine(RuleBasedStateMachine):
    """Two entries, three to five holders, one or two losses at once."""

    @initialize(losses=st.integers(1, 2))
    def set_up(self, losses):
        self.scratch = tempfile.TemporaryDirectory()
        folder = Path(self.scratch.name)
        self.losses = losses
        boxes = [f"box-{n}" for n in range(2 * losses + 1)]
        self.holders = {b: FakeHolder(folder, b, n) for n, b in enumerate(boxes)}
        seats = tuple(h.seat for h in self.holders.values())
        self.table = SeatTable(1, True, losses, seats)
        client = FakeClient(self.holders)
        self.entries = []
        for box in boxes[:2]:
            self.entries.append(self.start_entry(client, box))
        for holder in self.holders.values():
            holder.seats.update(self.table, "test")
        self.client = client
        self.count = 0
        self.handed = dict.fromkeys(PROGRAMS, 0)
        self.running = {}
        self.kept = {}

    def start_entry(self, client, box):
        book = ActiveSeatTable()
        book.update(self.table, "test")
        return TurnQuorum(book, client, box, Metrics())

    def teardown(self):
        if hasattr(self, "scratch"):
            self.scratch.cleanup()

    def may_lose_disk(self, box):
        """Disks are lost only as many at once as the table says; boxes at will."""
        lost = {b for b, h in self.holders.items() if not h.is_complete}
        return len(lost | {box}) <= self.losses

    def begin(self, entry, program, previous):
        self.count += 1
        name = f"t{self.count}"
        quorum = self.entries[entry]
        quorum.fanout.failing_since = None
        try:
            admission = quorum.begin(program, name, MOST, previous, BUDGET)
        except BudgetSpentError:
            return
        finally:
            eventlet.sleep(0)
        text = self.kept[previous][1] if previous else b""
        assert admission.text == text
        self.running[name] = (program, previous, MOST)

    @rule(entry=st.integers(0, 1), program=st.sampled_from(PROGRAMS), data=st.data())
    def begin_turn(self, entry, program, data):
        previous = data.draw(st.sampled_from(["", *sorted(self.kept)]))
        with contextlib.suppress(NoQuorumError):
            self.begin(entry, program, previous)

    @precondition(lambda self: self.running)
    @rule(entry=st.integers(0, 1), tokens=st.integers(1, MOST), data=st.data())
    def finish_turn(self, entry, tokens, data):
        name = data.draw(st.sampled_from(sorted(self.running)))
        program, previous, _ = self.running.pop(name)
        self.handed[program] += tokens
        body = f"[{name}]".encode()
        turn = Turn(program, name, previous, body, b"out", tokens, "t", 60.0)
        quorum = self.entries[entry]
        quorum.fanout.failing_since = None
        try:
            quorum.write(turn)
        except NoQuorumError:
            return
        before = self.kept[previous][1] if previous else b""
        self.kept[name] = (program, before + body + b"out")

    @precondition(lambda self: self.running)
    @rule(entry=st.integers(0, 1), tokens=st.integers(0, MOST), data=st.data())
    def break_turn(self, entry, tokens, data):
        name = data.draw(st.sampled_from(sorted(self.running)))
        program, _, _ = self.running.pop(name)
        self.handed[program] += tokens
        self.entries[entry].settle_or_log(Settled(program, name, tokens))

    @rule(entry=st.integers(0, 1))
    def ask_for_a_turn_that_never_was(self, entry):
        quorum = self.entries[entry]
        quorum.fanout.failing_since = None
        try:
            quorum.chains.read("never")
        except (NoSuchTurnError, NoQuorumError):
            return
        raise AssertionError("a turn that never was is known")

    @rule(data=st.data(), mode=MODES)
    def disturb(self, data, mode):
        box = data.draw(st.sampled_from(sorted(self.holders)))
        self.holders[box].mode = mode

    @rule()
    def heal_all(self):
        for holder in self.holders.values():
            holder.mode = "up"
        for entry in self.entries:
            entry.fanout.late.clear()

    @rule(data=st.data(), serves=st.booleans())
    def restart_holder(self, data, serves):
        holder = self.holders[data.draw(st.sampled_from(sorted(self.holders)))]
        holder.restart()
        if serves:
            holder.serve()

    @rule(data=st.data())
    def start_to_serve(self, data):
        self.holders[data.draw(st.sampled_from(sorted(self.holders)))].serve()

    @rule()
    def lose_all_processes(self):
        """Entries start with nothing; what a turn under way sent is unknown."""
        for holder in self.holders.values():
            holder.restart()
        for program, _, tokens in self.running.values():
            self.handed[program] += tokens
        self.running.clear()
        self.entries = [self.start_entry(self.client, f"box-{n}") for n in range(2)]

    @rule(data=st.data())
    def lose_a_disk_and_all_processes(self, data):
        """The holders come back in any order, and the lost disk is filled meanwhile."""
        lost = self.lose_disk(data)
        self.lose_all_processes()
        self.heal_all()
        for box in data.draw(st.permutations(sorted(self.holders))):
            if box == lost:
                self.try_catch_up(self.holders[box])
            self.holders[box].serve()

    @rule(data=st.data())
    def lose_one_disk(self, data):
        self.lose_disk(data)

    def lose_disk(self, data):
        box = data.draw(st.sampled_from(sorted(self.holders)))
        if not self.may_lose_disk(box):
            return None
        holder = self.holders[box]
        holder.new_disk()
        number = self.table.find_box(box)
        self.table = self.table.replace_seat(number, holder.seat)
        holder.seats.update(self.table, "test")
        return box

    @rule(data=st.data())
    def catch_up(self, data):
        box = data.draw(st.sampled_from(sorted(self.holders)))
        self.try_catch_up(self.holders[box])

    def try_catch_up(self, holder):
        if holder.is_complete or holder.mode != "up":
            return
        number = holder.seats.table.find_disk(holder.disk)
        puller = RecordPuller(self.client, holder.book, Metrics())
        copier = CatchUp(puller, holder.seats, Metrics())
        if copier.run_once(number):
            holder.mark_complete()

    @rule(entry=st.integers(0, 1))
    def hear_of_the_table(self, entry):
        self.entries[entry].seats.update(self.table, "test")

    @invariant()
    def the_budget_holds(self):
        for program, tokens in getattr(self, "handed", {}).items():
            running = sum(m for p, _, m in self.running.values() if p == program)
            assert tokens + running <= BUDGET

    @precondition(lambda self: self.kept)
    @rule(entry=st.integers(0, 1), data=st.data())
    def read_a_kept_turn(self, entry, data):
        name = data.draw(st.sampled_from(sorted(self.kept)))
        quorum = self.entries[entry]
        quorum.fanout.failing_since = None
        try:
            admission = quorum.chains.read_previous("", name, {})
        except NoQuorumError:
            return
        assert admission.text == self.kept[name][1]


QuorumMachine.TestCase.settings = settings(
    max_examples=250, stateful_step_count=60, deadline=None, derandomize=True
)
TestQuorums = QuorumMachine.TestCase
