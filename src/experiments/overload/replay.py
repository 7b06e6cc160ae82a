"""One replay: engines, boxes and programs of a load, by one seed."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Final

from cedarchute.address import Address
from cedarchute.decisions.program_admission import decide_admission
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.target_entry import TargetEntry
from experiments.overload.box import ModelBox
from experiments.overload.engine import ModelEngine
from experiments.overload.program import ModelProgram, ProgramResult, TurnPlan
from experiments.overload.timeline import Timeline

if TYPE_CHECKING:
    from experiments.overload.box import AdmissionRule
    from experiments.overload.load import Load, ProgramKind, SlowEngines

COUNT_SPREAD: Final = 0.4
SIZE_SPREAD: Final = 0.6
HELPER_TURNS: Final = 2
LAST_PROGRAM_SECONDS: Final = 60.0
# What callers allow a turn for the way when they reckon the time of a program.
IDLE_WAY_MS: Final = 27.0


class FixedTargets:
    """The registry of targets of a replay: all are ready, all the time."""

    def __init__(self, entries: list[TargetEntry]) -> None:
        self.entries = entries

    def list_ready(self, service: str) -> list[TargetEntry]:
        """Return every target."""
        return self.entries


class Replay:
    """Plays a load once; `results` tells of each program."""

    def __init__(
        self, load: Load, seed: int, rule: AdmissionRule = decide_admission
    ) -> None:
        self.load = load
        self.chance = random.Random(seed)
        self.timeline = Timeline()
        self.engines = {
            f"e{n}": ModelEngine(f"e{n}", load.engine, self.timeline)
            for n in range(load.engines)
        }
        self.boxes = [self.make_box(rule) for _ in range(load.boxes)]
        self.results: list[ProgramResult] = []

    def make_box(self, rule: AdmissionRule) -> ModelBox:
        """Return a box that knows every engine."""
        address = Address("127.0.0.1", 1)
        slots = self.load.engine.slots
        entries = [
            TargetEntry(name, "model", address, "a", True, slots)
            for name in self.engines
        ]
        registry = FixedTargets(entries)
        choice = LoadBalancer(registry, "a", self.chance, lambda address: True)
        return ModelBox(self.timeline, self.engines, choice, rule)

    def run(self) -> list[ProgramResult]:
        """Play the load, then let what is under way end."""
        for kind in self.load.kinds:
            self.timeline.after(0.0, lambda kind=kind: self.arrive(kind))
        for slow in self.load.slow:
            self.plan_slowness(slow)
        self.timeline.run(self.load.seconds + LAST_PROGRAM_SECONDS)
        return self.results

    def plan_slowness(self, slow: SlowEngines) -> None:
        """Slow some engines down for a while."""
        for name in list(self.engines)[: slow.count]:
            engine = self.engines[name]

            def change(factor: float, engine: ModelEngine = engine) -> None:
                engine.slowness = factor

            self.timeline.after(slow.start, lambda c=change: c(slow.factor))
            self.timeline.after(slow.start + slow.seconds, lambda c=change: c(1.0))

    def arrive(self, kind: ProgramKind) -> None:
        """Let one program begin, and plan the next one's arrival."""
        now = self.timeline.now
        if now >= self.load.seconds:
            return
        rate = kind.rate * self.find_factor(kind, now)
        self.timeline.after(self.chance.expovariate(rate), lambda: self.arrive(kind))
        if now == 0.0:
            return
        self.begin(kind)

    def find_factor(self, kind: ProgramKind, now: float) -> float:
        """Return how many times the usual load there is now."""
        factor = 1.0
        for burst in self.load.bursts:
            is_on = burst.start <= now < burst.start + burst.seconds
            if is_on and burst.kind in ("", kind.name):
                factor *= burst.factor
        return factor

    def begin(self, kind: ProgramKind) -> None:
        """Begin a program of `kind`."""
        plan = self.draw_plan(kind)
        idle = self.find_idle_seconds(plan)
        aim = kind.aim_factor * idle + kind.objective_ms / 1000
        turns = sum(1 + sum(map(len, step.helpers)) for step in plan)
        result = ProgramResult(kind.name, self.timeline.now, aim, turns)
        self.results.append(result)
        name = f"{self.chance.getrandbits(56):014x}"
        ModelProgram(self, name, kind, result).begin(plan)

    def draw_plan(self, kind: ProgramKind) -> tuple[TurnPlan, ...]:
        """Draw what a program's turns will need."""
        turns = self.draw_count(kind.turns)
        return tuple(
            self.draw_turn(kind, number == 0, number + 1 < turns)
            for number in range(turns)
        )

    def draw_count(self, mean: float) -> int:
        """Draw a number of turns or sub-agents, one at least."""
        return max(1, round(self.chance.gauss(mean, COUNT_SPREAD * mean)))

    def draw_turn(self, kind: ProgramKind, is_first: bool, may_fan: bool) -> TurnPlan:
        """Draw one turn, with the sub-agents that it starts."""
        tokens = kind.first_tokens if is_first else kind.turn_tokens
        helpers: tuple[tuple[TurnPlan, ...], ...] = ()
        if may_fan and self.chance.random() < kind.fan:
            helpers = tuple(
                tuple(self.draw_turn(kind, False, False) for _ in range(HELPER_TURNS))
                for _ in range(self.draw_count(kind.width))
            )
        events = max(1.0, kind.events * self.draw_size())
        return TurnPlan(
            prompt_tokens=round(tokens * self.draw_size()),
            tokens=math.ceil(events * self.load.engine.event_tokens),
            pause_seconds=self.chance.expovariate(1000 / kind.pause_ms),
            helpers=helpers,
        )

    def draw_size(self) -> float:
        """Draw a factor whose mean is 1."""
        return self.chance.lognormvariate(-(SIZE_SPREAD**2) / 2, SIZE_SPREAD)

    def find_idle_seconds(self, plan: tuple[TurnPlan, ...]) -> float:
        """Return what turns take when every engine is idle."""
        traits = self.load.engine
        milliseconds = 0.0
        for number, step in enumerate(plan):
            milliseconds += IDLE_WAY_MS
            milliseconds += step.prompt_tokens / traits.prefill_tokens_per_ms
            milliseconds += step.tokens * traits.step_ms
            milliseconds += 1000 * max(
                map(self.find_idle_seconds, step.helpers), default=0
            )
            if number + 1 < len(plan):
                milliseconds += step.pause_seconds * 1000
        return milliseconds / 1000

    def count_ranks_behind(self, kind: ProgramKind) -> int:
        """Return how many ranks are less important than that of `kind`."""
        return len({k.rank for k in self.load.kinds if k.rank > kind.rank})
