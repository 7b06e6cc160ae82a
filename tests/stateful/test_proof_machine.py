"""Whether a key that was taken away lets a call pass, however boxes hear of it."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from cedarchute.decisions.key_trust import MARGIN_SECONDS, ProofAgeLimit
from cedarchute.fleet import freshness_proof, store_mirror
from cedarchute.fleet.state_messages import MirroredEntry
from cedarchute.fleet.store_mirror import StoreMirror

KEY = "configuration"
REVOKE_SECONDS = 5.0
BOXES = 3
# Sums of pauses differ from differences of times in their last digits.
ROUNDING_SECONDS = 1e-6

boxes = st.integers(0, BOXES - 1)
# Boxes freeze, answers are slow: any step may take this long.
pauses = st.sampled_from([0.0, 0.1, 1.0, 2.4, 4.0, 4.8, 6.0])


class ProofMachine(RuleBasedStateMachine):
    """Boxes that read the store, hear of each other, or do neither for a long time.

    A box reads or asks in two steps, and time passes between them; what it is told may
    be as old as its question. Watches bring configurations too, but never a proof.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.patch = pytest.MonkeyPatch()
        clock = SimpleNamespace(monotonic=lambda: self.now)
        self.patch.setattr(freshness_proof, "time", clock)
        self.patch.setattr(store_mirror, "time", clock)
        self.trust = ProofAgeLimit(REVOKE_SECONDS)
        self.boxes = [StoreMirror({}, KEY) for _ in range(BOXES)]
        # When each revision was confirmed.
        self.confirmed = {1: self.now}
        self.asked = {}
        self.told = {}

    def teardown(self):
        self.patch.undo()

    @property
    def newest(self):
        return max(self.confirmed)

    @rule(seconds=pauses)
    def pass_time(self, seconds):
        self.now += seconds

    @rule()
    def take_a_key_away(self):
        self.confirmed[self.newest + 1] = self.now

    @rule(box=boxes)
    def ask_the_store(self, box):
        self.asked[box] = self.now

    @precondition(lambda self: self.asked)
    @rule(data=st.data(), seconds=pauses, age=st.sampled_from([0.0, 0.5, 1.0]))
    def hear_from_the_store(self, data, seconds, age):
        """The store answers with what stood there at some time after the question."""
        box = data.draw(st.sampled_from(sorted(self.asked)))
        asked_at = self.asked.pop(box)
        read_at = asked_at + age * (self.now - asked_at)
        revision = max(r for r, at in self.confirmed.items() if at <= read_at)
        self.now += seconds
        mirror = self.boxes[box]
        mirror.take_entry(MirroredEntry(KEY, str(revision), revision))
        mirror.note_proof(revision, asked_at)

    @rule(box=boxes, back=st.integers(0, 3))
    def watch_brings_a_configuration(self, box, back):
        revision = max(1, self.newest - back)
        self.boxes[box].take_entry(MirroredEntry(KEY, str(revision), revision))

    @rule(box=boxes, other=boxes, seconds=pauses, held=pauses)
    def ask_a_box(self, box, other, seconds, held):
        """The question takes its time, and so does the other box with its answer."""
        asked_at = self.now
        self.now += seconds
        arrived_at = self.now
        self.now += held
        known = self.boxes[box].revision
        state = self.boxes[other].tell(known, asked_at=arrived_at)
        self.told[box] = (asked_at, state)

    @precondition(lambda self: self.told)
    @rule(data=st.data(), seconds=pauses)
    def hear_from_a_box(self, data, seconds):
        box = data.draw(st.sampled_from(sorted(self.told)))
        self.now += seconds
        asked_at, state = self.told.pop(box)
        self.boxes[box].take_state(state, asked_at)

    @rule(box=boxes)
    def start_again(self, box):
        self.boxes[box] = StoreMirror({}, KEY)
        self.asked.pop(box, None)
        self.told.pop(box, None)

    @invariant()
    def no_key_outlives_its_bound(self):
        for mirror in self.boxes:
            if not self.trust.accepts(mirror.proof.age_seconds):
                continue
            for revision, confirmed_at in self.confirmed.items():
                if revision > mirror.configuration_revision:
                    until = confirmed_at + REVOKE_SECONDS - MARGIN_SECONDS
                    assert self.now < until + ROUNDING_SECONDS


ProofMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestProofs = ProofMachine.TestCase


def test_a_box_with_a_proof_at_hand_refuses_nothing():
    trust = ProofAgeLimit(REVOKE_SECONDS)
    assert trust.accepts(REVOKE_SECONDS - MARGIN_SECONDS - 0.01)
    assert not trust.accepts(REVOKE_SECONDS - MARGIN_SECONDS)
    assert not trust.accepts(float("inf"))
    assert ProofAgeLimit(0).accepts(float("inf"))
