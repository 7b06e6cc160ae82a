"""Turns that callers take at entries, and what they may expect of them."""

from __future__ import annotations

from seat_box import BoxClient

from cedarchute.metrics import Metrics
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.chain_reader import NoSuchTurnError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.records import Settled, Turn
from cedarchute.turns.turn_quorum import BudgetSpentError, TurnQuorum

BUDGET = 100
MAX_TOKENS = 30
KEEP_SECONDS = 1_000_000.0


class DirectQuorum(TurnQuorum):
    """Settles at once, so that nothing is left to other tasks."""

    def settle(self, program, turn, tokens, uses_full_timeout=True):
        self.settle_or_log(Settled(program, turn, tokens), uses_full_timeout)


class SeatEntry:
    """An entry: a process without a disk."""

    is_running = True

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.restart()

    def restart(self):
        self.seats = ActiveSeatTable()
        client = BoxClient(self.world, self)
        self.quorum = DirectQuorum(self.seats, client, self.name, Metrics())

    def hear(self, index=-1):
        tables = self.world.store.tables
        self.seats.update(tables[index % len(tables)], "store")

    def forget_failures(self):
        self.quorum.fanout.failing_since = None
        self.quorum.fanout.late.clear()


class Kept:
    """A turn whose write reached a quorum."""

    def __init__(self, program, text, previous, keep_seconds, now):
        self.program = program
        self.text = text
        self.previous = previous
        self.keep_seconds = keep_seconds
        self.used_at = now


class SeatTurns:
    """The oracle: kept turns are known and whole, and budgets hold."""

    def __init__(self, world):
        self.world = world
        self.entries = [SeatEntry(world, f"entry-{n}") for n in range(2)]
        self.count = 0
        self.kept = {}
        self.running = {}
        self.spent = {}
        self.broken = []

    def fail(self, text):
        """Fail, also if a handler between here and the test takes the error."""
        self.broken.append(text)
        raise AssertionError(text)

    def list_kept(self):
        """Return the turns that are due, with all that they continue."""
        return [name for name in self.kept if self.is_due(name)]

    def is_due(self, name):
        turn = self.kept[name]
        if self.world.clock.now - turn.used_at > turn.keep_seconds:
            return False
        return not turn.previous or self.is_due(turn.previous)

    def begin(self, entry, program, previous="", budget=BUDGET):
        """Begin a turn; return its name, or None if it is refused."""
        self.count += 1
        name = f"t{self.count}"
        quorum = self.entries[entry].quorum
        self.entries[entry].forget_failures()
        try:
            admission = quorum.begin(program, name, MAX_TOKENS, previous, budget)
        except (BudgetSpentError, NoQuorumError):
            return None
        except NoSuchTurnError as error:
            return self.fail(f"kept turn {previous} is forgotten: {error}")
        self.check_text(previous, admission.text)
        self.running[name] = (program, previous, admission.programs)
        self.use(previous)
        if budget is not None:
            self.check_budget(program)
        return name

    def use(self, name):
        """Note the use of a turn and of those that it continues."""
        while name:
            self.kept[name].used_at = self.world.clock.now
            name = self.kept[name].previous

    def finish(self, entry, name, tokens=10, keep_seconds=KEEP_SECONDS):
        """Finish a turn; return whether it is kept."""
        program, previous, programs = self.running.pop(name)
        self.spent[program] = self.spent.get(program, 0) + tokens
        body = f"[{name}]".encode()
        turn = Turn(
            program=program,
            turn=name,
            previous=previous,
            input=body,
            output=b"out",
            tokens=tokens,
            target="t",
            keep_seconds=keep_seconds,
            continued=tuple(p for p in programs if p != program),
        )
        self.entries[entry].forget_failures()
        try:
            self.entries[entry].quorum.write(turn)
        except NoQuorumError:
            return False
        before = self.kept[previous].text if previous else b""
        now = self.world.clock.now
        text = before + body + b"out"
        self.kept[name] = Kept(program, text, previous, keep_seconds, now)
        return True

    def abort(self, entry, name, tokens):
        program, _, _ = self.running.pop(name)
        self.spent[program] = self.spent.get(program, 0) + tokens
        self.entries[entry].forget_failures()
        self.entries[entry].quorum.settle_or_log(Settled(program, name, tokens))

    def take(self, entry, program, previous="", budget=BUDGET, **terms):
        """Take a whole turn; return its name if it is kept."""
        name = self.begin(entry, program, previous, budget)
        if name is None or not self.finish(entry, name, **terms):
            return None
        return name

    def read(self, entry, name):
        """Read a kept turn; return whether there was an answer."""
        self.entries[entry].forget_failures()
        chains = self.entries[entry].quorum.chains
        try:
            admission = chains.read_previous("", name, {})
        except NoQuorumError:
            return False
        except NoSuchTurnError as error:
            return self.fail(f"kept turn {name} is forgotten: {error}")
        self.check_text(name, admission.text)
        return True

    def check_text(self, name, text):
        expected = self.kept[name].text if name else b""
        if text != expected:
            self.fail(f"{name} is {text!r}, not {expected!r}")

    def check_budget(self, program):
        running = sum(MAX_TOKENS for p, _, _ in self.running.values() if p == program)
        if self.spent.get(program, 0) + running > BUDGET:
            self.fail(f"{program} is over its budget")

    def check_recovered(self):
        """Read all kept turns and take a new one, after all faults have ended."""
        for number, entry in enumerate(self.entries):
            entry.hear()
            for name in self.list_kept():
                if not self.read(number, name):
                    self.fail(f"{name} cannot be read after all faults have ended")
            self.count += 1
            if self.take(number, f"new-{self.count}") is None:
                self.fail("no new turn is admitted after all faults have ended")
