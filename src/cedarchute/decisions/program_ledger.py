"""Admits a program if the limit of its workspace holds all of its calls.

Programs that are let in as soon as one call fits compete for the calls that come, and
all of them are cut short. The ledger knows which programs of a workspace are under way
and expects what they still need. It grants no calls, so it can exceed no limit.

Many programs that are refused never return, or under another key. So calls are held
only for those that came back and were refused again: they are admitted in that order,
each is told when it fits after those before it, and what they need is held until then.
A program that would miss its soft deadline anyway gets only what is left at present.

A limit may be too small to ever hold two programs. One that has waited for as long as a
program takes, while no other was admitted, therefore begins as soon as a call is left.

A ledger that takes over from another knows no program at first. On routes whose turns
name no earlier one, a turn midway then looks like a start, so for a moment all pass.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from cedarchute.decisions.ledger_decision import LedgerDecision
from cedarchute.decisions.program_promise import ProgramPromise
from cedarchute.decisions.program_refusals import ProgramRefusals
from cedarchute.decisions.program_under_way import ProgramUnderWay
from cedarchute.decisions.program_verdict import ProgramVerdict

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.decisions.program_kinds import ProgramKinds
    from cedarchute.decisions.program_turn import ProgramTurn

MAX_PROGRAMS: Final = 512
# A program not seen for so long has ended.
FORGET_SECONDS: Final = 6.0
# Until the box that asks has seen enough turns.
DEFAULT_CALLS_PER_TURN: Final = 2.5
# How long a ledger that takes over lets all programs pass: the usual time between two
# turns, after which it knows those under way.
GATHER_SECONDS: Final = 0.75
# A ledger that was not asked for so long may have missed programs that others kept.
MAX_IDLE_SECONDS: Final = 20.0
MIN_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 10.0
# How late a refused program may come back and still find its calls held: the way to
# its caller and back, and what the caller adds.
PROMISE_GRACE_SECONDS: Final = 0.5
# Nothing is held for programs told to come back later than this: most give up.
MAX_PROMISE_SECONDS: Final = 3.0
# A program that stayed away for so long after a refusal has given up.
FORGET_REFUSAL_SECONDS: Final = MAX_RETRY_SECONDS + 2.0


class ProgramLedger:
    """Programs of one workspace: at most `MAX_PROGRAMS` under way, and as many refused.

    Parameters
    ----------
    kinds : ProgramKinds
        What the programs of all workspaces have in common.
    """

    def __init__(self, kinds: ProgramKinds, clock: Clock) -> None:
        self.kinds = kinds
        self.clock = clock
        # By the time at which they were last seen.
        self.programs: OrderedDict[str, ProgramUnderWay] = OrderedDict()
        # By the time of the refusal from which on calls were held.
        self.promises: OrderedDict[str, ProgramPromise] = OrderedDict()
        # By the time of the last refusal.
        self.refused: OrderedDict[str, ProgramRefusals] = OrderedDict()
        # When a program was last judged and admitted.
        self.admitted_at = clock.monotonic()
        self.gathers_until = clock.monotonic() + GATHER_SECONDS
        self.asked_at = clock.monotonic()

    def decide(
        self,
        turn: ProgramTurn,
        tokens: float,
        calls_per_second: float,
        capacity: float = math.inf,
    ) -> LedgerDecision:
        """Return whether the program of a turn may go on; take note of the turn.

        Parameters
        ----------
        tokens : float
            Calls left to the workspace.
        calls_per_second : float
            Rate at which further calls come.
        capacity : float
            Calls left at most, if none are made.
        """
        now = self.clock.monotonic()
        self.forget(now)
        if now - self.asked_at > MAX_IDLE_SECONDS:
            self.gathers_until = now + GATHER_SECONDS
        self.asked_at = now
        known = self.programs.get(turn.program)
        if known is not None:
            known.turns += 1
            known.last_seen_at = now
            self.programs.move_to_end(turn.program)
            return LedgerDecision(ProgramVerdict.UNDER_WAY)
        if not turn.begins_program or now < self.gathers_until:
            self.admit(turn, now)
            return LedgerDecision(ProgramVerdict.UNDER_WAY)
        decision = self.judge(turn, tokens, calls_per_second, capacity, now)
        if decision.verdict is ProgramVerdict.UNDER_WAY:
            self.admit(turn, now)
            self.admitted_at = now
        else:
            self.refuse(turn, decision, now)
        return decision

    def judge(
        self,
        turn: ProgramTurn,
        tokens: float,
        calls_per_second: float,
        capacity: float,
        now: float,
    ) -> LedgerDecision:
        """Return whether the calls of a new program fit, and if not, when."""
        calls_per_turn = turn.calls_per_turn or DEFAULT_CALLS_PER_TURN
        shape = self.kinds.find(turn.kind)
        calls = max(1.0, shape.turns * calls_per_turn)
        needed = self.sum_needed(calls_per_turn, now)
        promised = self.sum_promised(turn.program)
        coming = tokens
        if turn.ends_in_time(shape.seconds):
            coming += calls_per_second * shape.seconds
        lacking = needed + promised + calls - coming
        is_alone = needed <= 0.0 and tokens >= -calls
        patience = self.find_patience(turn.program, shape.seconds, now)
        fits = lacking <= 0.0 or is_alone or (patience <= 0.0 and tokens >= 1.0)
        wait = min(MAX_RETRY_SECONDS, max(0.0, lacking) / calls_per_second)
        if patience <= 0.0:
            wait = min(wait, max(0.0, 1.0 - tokens) / calls_per_second)
        else:
            # One that returns begins by its patience if tokens can never cover both.
            returns = turn.program in self.refused
            most = capacity + calls_per_second * shape.seconds
            if calls + (needed if returns else 0.0) > most:
                wait = min(wait, patience)
        return LedgerDecision(
            ProgramVerdict.UNDER_WAY if fits else ProgramVerdict.REFUSED,
            is_new=True,
            wait_seconds=0.0 if fits else max(MIN_RETRY_SECONDS, wait),
            tokens=coming,
            needed=needed,
            promised=promised,
            calls=calls,
            under_way=len(self.programs),
        )

    def find_patience(self, program: str, seconds: float, now: float) -> float:
        """Return for how long a program must still wait until one call is enough."""
        refusals = self.refused.get(program)
        since = now if refusals is None else refusals.first_at
        return max(since, self.admitted_at) + seconds - now

    def sum_needed(self, calls_per_turn: float, now: float) -> float:
        """Return how many calls the programs under way still need."""
        return sum(
            program.expect_calls(self.kinds.find(program.kind), calls_per_turn, now)
            for program in self.programs.values()
        )

    def sum_promised(self, program: str) -> float:
        """Return the calls held for programs that wait before this one."""
        calls = 0.0
        for other, promise in self.promises.items():
            if other == program:
                break
            calls += promise.calls
        return calls

    def admit(self, turn: ProgramTurn, now: float) -> None:
        """Take note of a program under way; the one not seen longest goes if full."""
        self.promises.pop(turn.program, None)
        self.refused.pop(turn.program, None)
        self.programs[turn.program] = ProgramUnderWay(turn.kind, now, now)
        if len(self.programs) > MAX_PROGRAMS:
            self.programs.popitem(last=False)

    def refuse(self, turn: ProgramTurn, decision: LedgerDecision, now: float) -> None:
        """Take note of a refused program; hold calls for one that came back."""
        refusals = self.refused.get(turn.program)
        if refusals is None:
            self.refused[turn.program] = ProgramRefusals(now, now)
            if len(self.refused) > MAX_PROGRAMS:
                self.refused.popitem(last=False)
            return
        refusals.last_at = now
        self.refused.move_to_end(turn.program)
        self.promise(turn, decision, now)

    def promise(self, turn: ProgramTurn, decision: LedgerDecision, now: float) -> None:
        """Hold the calls of a refused program until it is due; keep its place.

        Nothing is held for one that would come too late to end in time.
        """
        wait = decision.wait_seconds
        ends_after = wait + self.kinds.find(turn.kind).seconds
        if wait > MAX_PROMISE_SECONDS or not turn.ends_in_time(ends_after):
            self.promises.pop(turn.program, None)
            return
        until = now + wait + PROMISE_GRACE_SECONDS
        self.promises[turn.program] = ProgramPromise(decision.calls, until)
        if len(self.promises) > MAX_PROGRAMS:
            self.promises.popitem(last=False)

    def forget(self, now: float) -> None:
        """Drop programs that ended, and learn from them; drop those that gave up."""
        while self.programs:
            key, program = next(iter(self.programs.items()))
            if now - program.last_seen_at <= FORGET_SECONDS:
                break
            del self.programs[key]
            seconds = program.last_seen_at - program.started_at
            self.kinds.learn(program.kind, program.turns, seconds)
        overdue = [key for key, held in self.promises.items() if held.expires_at < now]
        for key in overdue:
            del self.promises[key]
        while self.refused:
            key, refusals = next(iter(self.refused.items()))
            if now - refusals.last_at <= FORGET_REFUSAL_SECONDS:
                break
            del self.refused[key]
