"""An entry box in virtual time: the decisions of the product over modelled engines."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cedarchute.decisions.aim_use import DeadlineUsage
from cedarchute.decisions.pace_meter import SlowdownMeter
from cedarchute.decisions.program_admission import (
    AdmissionDecision,
    AdmissionInputs,
    compute_shedding_hash,
    decide_admission,
)
from experiments.overload.engine import RunningCall

if TYPE_CHECKING:
    from cedarchute.routing.load_balancer import LoadBalancer
    from experiments.overload.engine import ModelEngine
    from experiments.overload.timeline import Timeline


class AdmissionRule(Protocol):
    """Decides whether a new program is let in."""

    def __call__(self, inputs: AdmissionInputs) -> AdmissionDecision:
        """Return the decision."""
        ...


def admit_all(inputs: AdmissionInputs) -> AdmissionDecision:
    """Let every program in: what the product's rule is compared with."""
    return AdmissionDecision(True, 0.0)


@dataclass
class ModelTurn:
    """One turn, as its caller sends it."""

    program: str
    kind: str
    soft_deadline_seconds: float
    waited_seconds: float
    prompt_tokens: int
    tokens: int


class ModelBox:
    """Sees its own calls only, as a real box does."""

    def __init__(
        self,
        timeline: Timeline,
        engines: dict[str, ModelEngine],
        choice: LoadBalancer,
        rule: AdmissionRule = decide_admission,
    ) -> None:
        self.timeline = timeline
        self.engines = engines
        self.choice = choice
        self.rule = rule
        self.meter = SlowdownMeter()
        self.uses: defaultdict[str, DeadlineUsage] = defaultdict(DeadlineUsage)

    def decide(self, turn: ModelTurn, ranks_behind: int) -> AdmissionDecision:
        """Return whether the first turn of a program is let in."""
        inputs = AdmissionInputs(
            slowdown=self.meter.measure_slowdown(self.timeline.now),
            typical_deadline_usage=self.uses[turn.kind].share,
            lower_ranks=ranks_behind,
            shedding_hash=compute_shedding_hash(turn.program),
            soft_deadline_seconds=turn.soft_deadline_seconds,
            waited_seconds=turn.waited_seconds,
        )
        return self.rule(inputs)

    def send(self, turn: ModelTurn, on_end: ModelTurnEnd, preferred: str) -> bool:
        """Send a turn to an engine; return whether one took it."""
        tried: set[str] = set()
        while (
            target := self.choice.select_target("model", tried, preferred)
        ) is not None:
            tried.add(target.id)
            sent = SentTurn(self, turn, target.id, on_end)
            call = RunningCall(turn.prompt_tokens, turn.tokens, sent.take_event)
            if self.engines[target.id].take(call):
                sent.begin()
                return True
        return False


class ModelTurnEnd(Protocol):
    """Hears that a turn was served, and by which engine."""

    def __call__(self, engine: str) -> None:
        """Take the end in."""
        ...


class SentTurn:
    """A turn at an engine, as its box sees it."""

    def __init__(
        self, box: ModelBox, turn: ModelTurn, engine: str, on_end: ModelTurnEnd
    ) -> None:
        self.box = box
        self.turn = turn
        self.engine = engine
        self.on_end = on_end
        self.sent_at = self.last_at = box.timeline.now
        self.wait = 0
        self.has_begun = False

    def begin(self) -> None:
        """Count the turn among those under way."""
        self.box.choice.loads[self.engine].active += 1
        self.wait = self.box.meter.begin_wait(self.engine, self.sent_at)

    def take_event(self, is_last: bool) -> None:
        """Take an event in, as the relay of a stream does."""
        now = self.box.timeline.now
        if self.has_begun:
            self.box.meter.record_event_gaps(self.engine, now, now - self.last_at, 1)
        else:
            self.box.meter.end_wait(self.wait)
            self.box.meter.record_first_event(self.engine, now, now - self.sent_at)
        self.has_begun = True
        self.last_at = now
        if is_last:
            load = self.box.choice.loads[self.engine]
            load.active -= 1
            load.record_answer(now - self.sent_at)
            self.record_use(now)
            self.on_end(self.engine)

    def record_use(self, now: float) -> None:
        """Take in how much of its program's time was used at the turn's end."""
        slowdown = self.box.meter.measure_slowdown(now)
        took = now - self.sent_at
        use = self.box.uses[self.turn.kind]
        used = self.turn.waited_seconds + took
        use.record_turn(now, slowdown, used, self.turn.soft_deadline_seconds - took)
