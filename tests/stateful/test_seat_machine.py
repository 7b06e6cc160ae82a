"""Changes of seats against an oracle, while boxes, disks, calls and steps are lost."""

from __future__ import annotations

import sys
from functools import partial

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from seat_turns import BUDGET, KEEP_SECONDS, SeatTurns
from seat_world import SeatWorld

PROGRAMS = st.sampled_from(("p", "q", "r"))
MAX_BOXES = 10
SHORT_KEEP_SECONDS = 60.0
# Shorter and longer than that, with the time that holders add to it.
PASSING_SECONDS = st.sampled_from([40.0, 70.0])
ENTRIES = st.integers(0, 1)
INDEXES = st.integers(0, 9)
POINTS = st.integers(0, 14)
ROUNDS = st.integers(0, 14)
SIZES = st.sampled_from([(1, 3), (1, 3), (1, 4), (2, 5), (2, 7), (2, 3), (1, 2)])


class SeatMachine(RuleBasedStateMachine):
    """Three to seven seats, boxes without one, and everything that moves a seat."""

    @initialize(
        size=SIZES,
        spares=st.integers(0, 2),
        state=st.sampled_from(["settled", "settled", "upgraded", "new"]),
    )
    def set_up(self, size, spares, state):
        losses, seats = size
        self.world = SeatWorld(losses, seats)
        self.turns = SeatTurns(self.world)
        self.era = 0
        if state != "new":
            self.world.run_rounds(60)
            for entry in self.turns.entries:
                entry.hear()
            self.take_turns_at_every_quorum(0)
        if state == "upgraded":
            self.world.write_table_of_earlier_version()
        for _ in range(spares):
            self.world.add_box()

    def teardown(self):
        try:
            if sys.exc_info()[0] is None:
                self.world.recover()
                self.turns.check_recovered()
        finally:
            self.world.close()

    def pick(self, index):
        boxes = sorted(self.world.boxes)
        return self.world.boxes[boxes[index % len(boxes)]]

    def pick_kept(self, index):
        """Return a kept turn, or an empty string for none."""
        kept = ["", *self.turns.list_kept()]
        return kept[index % len(kept)]

    def pick_running(self, index):
        return list(self.turns.running)[index % len(self.turns.running)]

    def name_program(self, program):
        return f"{program}{self.era}"

    # Time, news and steps.

    @rule(rounds=ROUNDS)
    def run_all(self, rounds):
        self.world.run_rounds(rounds)

    @rule(index=INDEXES, rounds=ROUNDS)
    def run_one(self, index, rounds):
        self.world.run_rounds(rounds, [self.pick(index)])

    @rule(index=INDEXES, hears=st.booleans())
    def step(self, index, hears):
        self.world.step(self.pick(index), hears)

    @rule(index=INDEXES, points=POINTS, stops=st.booleans())
    def exchange_records(self, index, points, stops):
        box = self.pick(index)
        if stops:
            self.world.set_trap(box.name, points, box.kill)
        box.exchange()

    @rule(index=INDEXES, points=POINTS, hears=st.booleans())
    def step_and_stop(self, index, points, hears):
        box = self.pick(index)
        self.world.set_trap(box.name, points, box.kill)
        self.world.step(box, hears)

    @rule(index=INDEXES, points=POINTS, other=INDEXES, stops=st.booleans())
    def step_while_another_steps_or_stops(self, index, points, other, stops):
        box, second = self.pick(index), self.pick(other)
        action = second.kill if stops else partial(self.world.step, second)
        self.world.set_trap(box.name, points, action)
        self.world.step(box)

    @rule(index=INDEXES, points=POINTS, entry=ENTRIES, program=PROGRAMS)
    def step_while_a_turn_is_taken(self, index, points, entry, program):
        box = self.pick(index)
        take = partial(self.turns.take, entry, self.name_program(program))
        self.world.set_trap(box.name, points, take)
        self.world.step(box)

    @rule(entry=ENTRIES, program=PROGRAMS, points=POINTS, rounds=ROUNDS)
    def take_a_turn_while_boxes_step(self, entry, program, points, rounds):
        action = partial(self.world.run_rounds, rounds)
        self.world.set_trap(f"entry-{entry}", points, action)
        self.turns.take(entry, self.name_program(program))

    @rule(index=INDEXES, table=st.integers(0, 30))
    def hear_an_old_table(self, index, table):
        self.world.hear_old(self.pick(index), table)

    @rule(index=INDEXES)
    def hear_the_store(self, index):
        self.world.hear(self.pick(index))

    @rule(seconds=PASSING_SECONDS, indexes=st.lists(INDEXES, max_size=4))
    def let_time_pass(self, seconds, indexes):
        """Holders drop programs that are over; new ones have budgets of their own."""
        self.world.clock.now += seconds
        self.turns.running.clear()
        self.era += 1
        for index in indexes:
            self.pick(index).drop_expired()

    # Faults.

    @rule(index=INDEXES, rounds=ROUNDS)
    def kill(self, index, rounds):
        self.world.kill(self.pick(index))
        self.world.run_rounds(rounds)

    @rule(index=INDEXES, rounds=ROUNDS)
    def start(self, index, rounds):
        self.pick(index).start()
        self.world.run_rounds(rounds)

    @rule(spared=st.sets(INDEXES, max_size=2))
    def kill_all(self, spared):
        kept = {self.pick(index).name for index in spared}
        for box in list(self.world.boxes.values()):
            if box.name not in kept:
                self.world.kill(box)

    @rule()
    def start_all(self):
        for box in self.world.boxes.values():
            box.start()

    @rule(index=INDEXES, starts=st.booleans(), rounds=ROUNDS)
    def lose_disk(self, index, starts, rounds):
        box = self.pick(index)
        if self.world.wipe(box) and starts:
            box.start()
            self.world.run_rounds(rounds)

    @rule(index=INDEXES, away=st.sets(INDEXES, max_size=2), rounds=ROUNDS)
    def lose_disk_while_others_are_away(self, index, away, rounds):
        for other in away:
            self.world.kill(self.pick(other))
        self.lose_disk(index, True, rounds)
        self.read_kept_turns(0)

    @rule(index=INDEXES)
    def replace_box(self, index):
        self.world.replace_box(self.pick(index))

    @precondition(lambda self: len(self.world.boxes) < MAX_BOXES)
    @rule()
    def add_spare(self):
        self.world.add_box()

    @rule(index=INDEXES)
    def retire(self, index):
        self.world.retire(self.pick(index))

    @rule()
    def remove_retired(self):
        self.world.remove_retired()

    @rule(one=INDEXES, other=st.one_of(INDEXES, st.just("store"), ENTRIES.map(str)))
    def cut(self, one, other):
        first = self.pick(one).name
        if isinstance(other, int):
            second = self.pick(other).name
        else:
            second = other if other == "store" else f"entry-{other}"
        self.world.cuts.add(frozenset((first, second)))

    @rule()
    def heal_cuts(self):
        self.world.cuts.clear()

    @rule(
        index=INDEXES,
        skipped=st.integers(0, 6),
        loss=st.sampled_from(["before", "after"]),
    )
    def lose_a_call(self, index, skipped, loss):
        box = self.pick(index)
        self.world.next_losses[box.name] = [""] * skipped + [loss]

    # Turns.

    @rule(
        entry=ENTRIES,
        program=PROGRAMS,
        previous=INDEXES,
        away=st.one_of(st.none(), INDEXES),
        is_short=st.booleans(),
    )
    def take_turn(self, entry, program, previous, away, is_short):
        """Take a turn, perhaps while one holder cannot be reached."""
        cut = set()
        if away is not None:
            cut = {frozenset((f"entry-{entry}", self.pick(away).name))}
        cut -= self.world.cuts
        self.world.cuts |= cut
        name = f"short-{program}" if is_short else self.name_program(program)
        self.turns.take(
            entry,
            name,
            self.pick_kept(previous),
            budget=None if is_short else BUDGET,
            keep_seconds=SHORT_KEEP_SECONDS if is_short else KEEP_SECONDS,
        )
        self.world.cuts -= cut

    @rule(entry=ENTRIES)
    def take_turns_at_every_quorum(self, entry):
        """Take a turn without each of the holders."""
        for name in sorted(self.world.boxes):
            cut = {frozenset((f"entry-{entry}", name))} - self.world.cuts
            self.world.cuts |= cut
            self.turns.take(entry, f"without-{name}-{self.turns.count}")
            self.world.cuts -= cut

    @rule(entry=ENTRIES, program=PROGRAMS, previous=INDEXES)
    def begin_turn(self, entry, program, previous):
        name = self.name_program(program)
        self.turns.begin(entry, name, self.pick_kept(previous))

    @precondition(lambda self: self.turns.running)
    @rule(entry=ENTRIES, index=INDEXES, tokens=st.integers(1, 30))
    def finish_turn(self, entry, index, tokens):
        self.turns.finish(entry, self.pick_running(index), tokens)

    @precondition(lambda self: self.turns.running)
    @rule(entry=ENTRIES, index=INDEXES, tokens=st.integers(0, 30))
    def abort_turn(self, entry, index, tokens):
        self.turns.abort(entry, self.pick_running(index), tokens)

    @rule(entry=ENTRIES)
    def read_kept_turns(self, entry):
        for name in self.turns.list_kept():
            self.turns.read(entry, name)

    @rule(entry=ENTRIES, table=st.integers(-1, 30))
    def hear_at_an_entry(self, entry, table):
        self.turns.entries[entry].hear(table)

    @rule(entry=ENTRIES, table=st.integers(0, 30))
    def restart_entry(self, entry, table):
        """An entry may hear first of a table that is long gone."""
        self.turns.entries[entry].restart()
        self.turns.entries[entry].hear(table)

    @rule()
    def recover(self):
        self.world.recover()
        self.turns.check_recovered()

    @invariant()
    def nothing_is_broken(self):
        assert not self.turns.broken


# A failure is printed as it was found: shrinking takes longer than it helps.
PHASES = (Phase.explicit, Phase.reuse, Phase.generate)

SeatMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=PHASES,
    suppress_health_check=list(HealthCheck),
)
TestSeats = SeatMachine.TestCase
