"""The ledger of a workspace: whom it admits, when others fit, what it forgets."""

from __future__ import annotations

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cedarchute.decisions import program_ledger
from cedarchute.decisions.calls_per_turn import (
    MAX_CALLS,
    MAX_TURNS,
    MIN_TURNS,
    CallsPerTurn,
)
from cedarchute.decisions.program_kinds import MAX_KINDS, ProgramKinds, ProgramShape
from cedarchute.decisions.program_ledger import (
    FORGET_REFUSAL_SECONDS,
    FORGET_SECONDS,
    GATHER_SECONDS,
    MAX_IDLE_SECONDS,
    MAX_RETRY_SECONDS,
    PROMISE_GRACE_SECONDS,
    ProgramLedger,
)
from cedarchute.decisions.program_turn import ProgramTurn
from cedarchute.decisions.program_verdict import ProgramVerdict

UNDER_WAY, REFUSED = ProgramVerdict.UNDER_WAY, ProgramVerdict.REFUSED
RATE = 5.0


class FakeClock:
    now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def ledger(clock):
    """Return a ledger that knows a kind of six turns in three seconds."""
    kinds = ProgramKinds()
    kinds.shapes["known"] = ProgramShape(6.0, 3.0, 50.0)
    ledger = ProgramLedger(kinds, clock)
    ledger.gathers_until = clock.now
    return ledger


def begin(ledger, program, tokens=0.0, kind="known", begins_program=True):
    turn = ProgramTurn(program, kind, 2.0, begins_program)
    return ledger.decide(turn, tokens, RATE)


def test_a_program_begins_if_all_of_its_calls_fit_beside_those_under_way(ledger):
    assert begin(ledger, "a").verdict is UNDER_WAY
    # Five turns of two calls and the last call after this turn, then twelve calls.
    needed = 11.0 + 12.0 - RATE * 3.0
    refused = begin(ledger, "b", needed - 0.5)
    assert refused.verdict is REFUSED
    assert refused.needed == 11.0
    assert refused.calls == 12.0
    assert begin(ledger, "b", needed).verdict is UNDER_WAY


def test_a_program_alone_begins_unless_the_limit_is_in_debt_for_more_than_one(ledger):
    assert begin(ledger, "a", -12.5).verdict is REFUSED
    assert begin(ledger, "a", -12.0).verdict is UNDER_WAY


def test_a_program_under_way_passes_whatever_is_left(ledger):
    begin(ledger, "a")
    for _ in range(20):
        assert begin(ledger, "a", -100.0).verdict is UNDER_WAY


def test_a_turn_that_names_an_earlier_one_is_of_a_program_under_way(ledger):
    begin(ledger, "a")
    told = begin(ledger, "b", -100.0, begins_program=False)
    assert told.verdict is UNDER_WAY
    assert not told.is_new
    assert set(ledger.programs) == {"a", "b"}


def refuse_once(ledger, *programs):
    for program in programs:
        assert begin(ledger, program, 5.0).verdict is REFUSED
    assert not ledger.promises


def test_each_returned_program_refused_in_a_moment_is_told_a_later_time(ledger):
    begin(ledger, "a")
    refuse_once(ledger, "late0", "late1", "late2")
    waits = [begin(ledger, f"late{n}", 5.0).wait_seconds for n in range(3)]
    assert waits[0] == pytest.approx((11.0 + 12.0 - 20.0) / RATE)
    assert waits[1] == pytest.approx(waits[0] + 12.0 / RATE)
    assert waits == sorted(set(waits))


def test_a_refused_program_keeps_its_place_before_later_ones(ledger, clock):
    begin(ledger, "a")
    refuse_once(ledger, "first", "second")
    wait = begin(ledger, "first", 5.0).wait_seconds
    begin(ledger, "second", 5.0)
    clock.now += wait
    tokens = 5.0 + RATE * wait
    assert begin(ledger, "third", tokens).verdict is REFUSED
    assert begin(ledger, "second", tokens).verdict is REFUSED
    assert begin(ledger, "first", tokens).verdict is UNDER_WAY


def test_calls_held_for_a_program_that_stays_away_are_free_again(ledger, clock):
    begin(ledger, "a")
    refuse_once(ledger, "gone")
    wait = begin(ledger, "gone", 5.0).wait_seconds
    assert ledger.sum_promised("other") == 12.0
    clock.now += wait + PROMISE_GRACE_SECONDS + 0.01
    assert begin(ledger, "other", 8.0).verdict is UNDER_WAY
    assert not ledger.promises


def test_a_refused_program_that_gave_up_is_forgotten(ledger, clock):
    begin(ledger, "a")
    refuse_once(ledger, "gone", "stays")
    clock.now += FORGET_REFUSAL_SECONDS
    begin(ledger, "b", -100.0)
    begin(ledger, "stays", -100.0)
    clock.now += 0.1
    begin(ledger, "c", -100.0)
    assert "gone" not in ledger.refused
    assert "stays" in ledger.refused


def test_a_program_that_waited_as_long_as_one_takes_needs_only_a_call(ledger, clock):
    begin(ledger, "a")
    told = ledger.decide(ProgramTurn("b", "known", 2.0), 0.0, 1.0, 1.0)
    assert told.verdict is REFUSED
    # The limit never holds both, so it is told when it need not fit any more.
    assert told.wait_seconds == 3.0
    clock.now += 1.5
    begin(ledger, "a")
    clock.now += 1.4
    turn = ProgramTurn("b", "known", 2.0)
    assert ledger.decide(turn, 1.0, 1.0, 1.0).verdict is REFUSED
    clock.now += 0.1
    told = ledger.decide(turn, 0.5, 1.0, 1.0)
    assert (told.verdict, told.wait_seconds) == (REFUSED, 0.5)
    assert ledger.decide(turn, 1.0, 1.0, 1.0).verdict is UNDER_WAY
    # The next such program waits for as long again.
    ledger.decide(ProgramTurn("c", "known", 2.0), 1.0, 1.0, 1.0)
    clock.now += 2.9
    begin(ledger, "a")
    turn = ProgramTurn("c", "known", 2.0)
    assert ledger.decide(turn, 1.0, 1.0, 1.0).verdict is REFUSED


def test_a_ledger_that_takes_over_lets_all_pass_until_it_knows_those_under_way(clock):
    ledger = ProgramLedger(ProgramKinds(), clock)
    for number in range(5):
        told = begin(ledger, f"midway{number}", -100.0)
        assert (told.verdict, told.is_new) == (UNDER_WAY, False)
    clock.now += GATHER_SECONDS
    assert begin(ledger, "midway0", -100.0).verdict is UNDER_WAY
    assert begin(ledger, "new", 0.0).verdict is REFUSED
    clock.now += MAX_IDLE_SECONDS + 0.1
    assert begin(ledger, "another", -100.0).verdict is UNDER_WAY


def test_a_program_that_would_be_late_anyway_gets_only_what_is_left_now(ledger):
    begin(ledger, "a")
    late = ProgramTurn("late", "known", 2.0, seconds_left=2.9)
    for _ in range(2):
        assert ledger.decide(late, 22.0, RATE).verdict is REFUSED
    assert not ledger.promises
    assert ledger.decide(late, 23.0, RATE).verdict is UNDER_WAY


def test_nothing_is_held_for_a_program_that_would_come_back_too_late(ledger):
    begin(ledger, "a")
    turn = ProgramTurn("b", "known", 2.0, seconds_left=3.5)
    ledger.decide(turn, 0.0, RATE)
    refused = ledger.decide(turn, 0.0, RATE)
    assert refused.verdict is REFUSED
    assert refused.wait_seconds > 0.5
    assert not ledger.promises


def test_programs_that_ended_need_nothing_and_teach_their_kind(ledger, clock):
    for _ in range(10):
        begin(ledger, "a", kind="new")
        clock.now += 0.1
    assert ledger.sum_needed(2.0, clock.now) > 0
    clock.now += 5.0
    assert ledger.sum_needed(2.0, clock.now) == 0
    clock.now += FORGET_SECONDS
    begin(ledger, "b")
    assert set(ledger.programs) == {"b"}
    learned = ledger.kinds.find("new")
    default = ProgramShape()
    assert default.turns < learned.turns < 10
    assert learned.seconds < default.seconds


def test_means_follow_a_change_and_kinds_are_bounded():
    kinds = ProgramKinds()
    for _ in range(200):
        kinds.learn("a", 3, 1.0)
    for _ in range(200):
        kinds.learn("a", 7, 4.0)
    assert kinds.find("a").turns == pytest.approx(7, abs=0.2)
    assert kinds.find("a").seconds == pytest.approx(4, abs=0.2)
    for number in range(2 * MAX_KINDS):
        kinds.learn(f"kind{number}", 1, 1.0)
    assert len(kinds.shapes) == MAX_KINDS


def test_calls_of_a_turn_are_unknown_at_first_and_follow_a_change():
    mean = CallsPerTurn()
    for _ in range(MIN_TURNS):
        assert mean.mean == 0.0
        mean.count(True)
        mean.count(False)
    assert mean.mean == 2.0
    for _ in range(6 * MAX_TURNS):
        mean.count(True)
    assert mean.mean == pytest.approx(1.0, abs=0.05)


def test_calls_without_turns_are_bounded():
    mean = CallsPerTurn()
    for _ in range(3 * MAX_CALLS):
        mean.count(False)
        assert mean.calls <= MAX_CALLS
    for _ in range(20 * MAX_TURNS):
        mean.count(True)
    assert mean.mean == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("mean", [-1.0, math.nan, math.inf, 1e9])
def test_a_mean_that_cannot_be_is_not_judged_by(mean):
    assert not ProgramTurn("p", "k", mean).is_valid
    assert not ProgramTurn("", "k", 2.0).is_valid
    assert not ProgramTurn("p", "", 2.0).is_valid
    assert ProgramTurn("p", "k", 0.0).is_valid


class LedgerMachine(RuleBasedStateMachine):
    """Any turns at any time, with few places, so that bounds are met."""

    max_programs = 6

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.ledger = ProgramLedger(ProgramKinds(), self.clock)
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(program_ledger, "MAX_PROGRAMS", self.max_programs)

    def teardown(self):
        self.patch.undo()

    @rule(seconds=st.floats(0.0, 4.0))
    def pass_time(self, seconds):
        self.clock.now += seconds

    @rule(
        number=st.integers(0, 15),
        kind=st.sampled_from(["short", "long", ""]),
        mean=st.floats(0.0, 100.0),
        begins=st.booleans(),
        tokens=st.floats(-500.0, 500.0),
        rate=st.floats(0.01, 300.0),
        left=st.none() | st.floats(-5.0, 20.0),
    )
    def take_turn(self, number, kind, mean, begins, tokens, rate, left):
        name = f"p{number}"
        seen = self.ledger.programs.get(name)
        is_known = seen and self.clock.now - seen.last_seen_at <= FORGET_SECONDS
        turns = seen.turns if is_known else 0
        turn = ProgramTurn(name, kind, mean, begins, left)
        decision = self.ledger.decide(turn, tokens, rate)
        gathers = self.clock.now < self.ledger.gathers_until
        assert decision.is_new == (not is_known and begins and not gathers)
        if not decision.is_new:
            assert decision.verdict is UNDER_WAY
        if decision.verdict is UNDER_WAY:
            assert decision.wait_seconds == 0.0
            assert self.ledger.programs[name].turns == turns + 1
            assert name not in self.ledger.promises
            return
        assert 0.0 < decision.wait_seconds <= MAX_RETRY_SECONDS
        assert name not in self.ledger.programs
        lacking = decision.needed + decision.promised + decision.calls
        assert lacking > decision.tokens
        assert decision.needed > 0 or tokens < -decision.calls

    @invariant()
    def is_bounded_and_ordered(self):
        programs = self.ledger.programs
        assert len(programs) <= self.max_programs
        assert len(self.ledger.promises) <= self.max_programs
        assert len(self.ledger.refused) <= self.max_programs
        assert not set(programs) & set(self.ledger.refused)
        seen = [program.last_seen_at for program in programs.values()]
        assert seen == sorted(seen)
        needed = self.ledger.sum_needed(2.0, self.clock.now)
        assert 0.0 <= needed < math.inf
        assert not set(programs) & set(self.ledger.promises)


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
