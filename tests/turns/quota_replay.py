"""Programs of workspaces that compete for their limits, replayed without a network."""

from __future__ import annotations

import heapq
import random
from collections import Counter

from cedarchute.decisions.calls_per_turn import CallsPerTurn
from cedarchute.decisions.program_turn import ProgramTurn
from cedarchute.decisions.quota_share import QuotaLimit, QuotaTolerance
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.holder_fanout import HolderFanout
from cedarchute.turns.quota_client import QuotaClient
from cedarchute.turns.quota_server import QuotaServer
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable

TOLERANCE = QuotaTolerance(window_seconds=5.0, overrun=0.1, slack=20.0)
BOXES = 4
# Turns of a program and calls of tools after each turn.
KINDS = {"long": (7, (2, 3)), "short": (3, (1, 2))}
MEAN_CALLS = 0.4 * 24.5 + 0.6 * 7.5
# A limit is this multiple of what its workspace usually sends.
HEADROOM = 1.6
DEADLINE_SECONDS = 10.0
MAX_TRIES = 6


class VirtualTime:
    """Stands in for the clock and for the module `time`."""

    now = 1000.0

    def monotonic(self):
        return self.now


class VirtualHolders:
    """Quota servers by address; those in `down` are silent."""

    def __init__(self, clock):
        self.servers = {
            f"h{n}": QuotaServer(TOLERANCE, clock, is_restarted=False) for n in range(5)
        }
        self.down = set()
        self.asked = Counter()

    def ask(self, address, path, message, answer, timeout):
        self.asked[type(message).__name__] += 1
        if address in self.down:
            raise HolderUnavailableError("silent")
        return self.servers[address].ask(message)


class ReplayedProgram:
    """One program and the time of its start."""

    def __init__(self, name, workspace, kind, at, chance):
        turns, tools = KINDS[kind]
        self.name, self.workspace, self.kind, self.started_at = (
            name,
            workspace,
            kind,
            at,
        )
        self.tools = [chance.randint(*tools) for _ in range(turns)]
        self.turn = 0
        self.tries = 0
        self.waiting_tools = 0
        self.outcome = ""


class QuotaReplay:
    """Workspaces with their limits, one of them hot for some seconds."""

    def __init__(self, monkeypatch, seed, is_on, limits, hot="", factor=7.5):
        self.clock = VirtualTime()
        for module in ("quota_client", "holder_fanout"):
            monkeypatch.setattr(f"cedarchute.turns.{module}.time", self.clock)
        self.chance = random.Random(seed)
        self.is_on = is_on
        self.limits = limits
        self.hot, self.factor = hot, factor
        self.holders = VirtualHolders(self.clock)
        seats = tuple(Seat(f"h{n}", f"h{n}", f"d{n}", "a") for n in range(5))
        active_table = ActiveSeatTable()
        active_table.update(SeatTable(1, True, 1, seats), "test")
        self.clients = [
            QuotaClient(HolderFanout(active_table, self.holders), self.holders, f"b{n}")
            for n in range(BOXES)
        ]
        self.ratios = [CallsPerTurn() for _ in range(BOXES)]
        self.clock.now += 30.0
        self.began_at = self.clock.now
        self.events = []
        self.pushed = 0
        self.programs = []
        self.granted = {name: [] for name in limits}
        self.lose_at = None
        # What callers of refused calls do: how much later than told they return.
        self.lateness = (0.0, 0.05)
        self.max_tries = MAX_TRIES
        self.renames_starts = False

    def run(self, seconds=60.0, hot_span=(15.0, 35.0)):
        """Replay programs that start within `seconds`, and return self."""
        for workspace, rate in self.limits.items():
            at = 0.0
            while at < seconds:
                is_hot = workspace == self.hot and hot_span[0] <= at < hot_span[1]
                usual = rate / HEADROOM / MEAN_CALLS
                at += self.chance.expovariate(usual * (self.factor if is_hot else 1.0))
                kind = "long" if self.chance.random() < 0.4 else "short"
                name = f"{workspace}\n{len(self.programs)}"
                began = self.began_at + at
                program = ReplayedProgram(name, workspace, kind, began, self.chance)
                self.programs.append(program)
                self.push(began, self.take_turn, program)
        while self.events:
            self.clock.now, _, step, program = heapq.heappop(self.events)
            if self.lose_at is not None and self.clock.now >= self.lose_at:
                self.lose_ledger()
            if not program.outcome:
                step(program)
        return self

    def lose_ledger(self):
        """Let the ledger of the hot workspace fall silent."""
        self.lose_at = None
        number = self.clients[0].find_seats(self.hot)[0]
        self.holders.down.add(f"h{number}")

    def push(self, at, step, program):
        self.pushed += 1
        heapq.heappush(self.events, (at, self.pushed, step, program))

    def ask(self, program, is_turn):
        box = self.chance.randrange(BOXES)
        rate = self.limits[program.workspace]
        limit = QuotaLimit(1, rate, rate)
        turn = None
        if is_turn and self.is_on:
            mean = self.ratios[box].mean
            left = program.started_at + DEADLINE_SECONDS - self.clock.now
            turn = ProgramTurn(program.name, program.kind, mean, seconds_left=left)
        grant = self.clients[box].ask(program.workspace, limit, is_turn, 1.0, turn)
        if grant.granted:
            self.ratios[box].count(is_turn)
            self.granted[program.workspace].append(self.clock.now + grant.wait_seconds)
        return grant

    def take_turn(self, program):
        self.step(program, True, self.end_turn, self.take_turn, (0.25, 0.45))

    def call_tool(self, program):
        self.step(program, False, self.end_tool, self.call_tool, (0.08, 0.2))

    def step(self, program, is_turn, then, again, seconds):
        grant = self.ask(program, is_turn)
        if grant.granted:
            program.tries = 0
            took = grant.wait_seconds + self.chance.uniform(*seconds)
            self.push(self.clock.now + took, then, program)
            return
        program.tries += 1
        late = self.chance.uniform(*self.lateness)
        due = self.clock.now + max(0.1, grant.wait_seconds) + late
        is_late = due > program.started_at + DEADLINE_SECONDS
        is_start = program.turn == 0 and is_turn
        if is_start and self.renames_starts:
            program.name += "'"
        if is_late or program.tries >= self.max_tries:
            program.outcome = "refused" if is_start else "cut"
            return
        self.push(due, again, program)

    def end_turn(self, program):
        program.waiting_tools = program.tools[program.turn]
        program.turn += 1
        for _ in range(program.waiting_tools):
            self.push(self.clock.now, self.call_tool, program)

    def end_tool(self, program):
        program.waiting_tools -= 1
        if program.waiting_tools:
            return
        if program.turn < len(program.tools):
            self.push(self.clock.now, self.take_turn, program)
            return
        is_late = self.clock.now > program.started_at + DEADLINE_SECONDS
        program.outcome = "late" if is_late else "ended"

    def count_calls_used(self, workspace, span=(16.0, 35.0)):
        """Return the calls a second that a workspace was granted within a span."""
        first, last = (self.began_at + at for at in span)
        granted = sum(first <= at < last for at in self.granted[workspace])
        return granted / (last - first)

    def count(self, workspaces=None, kind=""):
        """Return how many programs ended in which way."""
        return Counter(
            program.outcome
            for program in self.programs
            if (workspaces is None or program.workspace in workspaces)
            and kind in ("", program.kind)
        )
