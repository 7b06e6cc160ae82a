"""Programs drawn from a mix; the system does not know them in advance."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import numpy as np

    from experiments.scenario import Between, ProgramKind, Scenario

CHARACTERS_PER_TOKEN: Final = 4
SUB_AGENT_TOKENS: Final = 16


@dataclass(frozen=True)
class TurnPlan:
    """One call and the pause after it."""

    text: str
    max_tokens: int
    pause_seconds: float
    has_sub_agent: bool


@dataclass(frozen=True)
class ProgramPlan:
    """A program from its arrival to its end."""

    number: int
    kind: str
    arrival: float
    shared_text: str
    turns: tuple[TurnPlan, ...]

    def idle_seconds(self, step_seconds: float, prefill_per_step: int) -> float:
        """Return how long the program takes on idle engines with all in cache.

        Parameters
        ----------
        step_seconds : float
            Length of an engine's step, which makes one token.
        prefill_per_step : int
            Tokens of a new prompt that a step computes.
        """
        steps = 0
        pauses = 0.0
        for turn in self.turns:
            prefill = math.ceil(
                len(turn.text) / CHARACTERS_PER_TOKEN / prefill_per_step
            )
            steps += prefill + turn.max_tokens
            if turn.has_sub_agent:
                steps += prefill + SUB_AGENT_TOKENS
            pauses += turn.pause_seconds
        return steps * step_seconds + pauses


def draw(generator: np.random.Generator, between: Between) -> float:
    """Return a number of a range."""
    return float(generator.uniform(between.low, between.high))


def make_text(generator: np.random.Generator, tokens: int) -> str:
    """Return a text of about so many tokens of four bytes."""
    numbers = generator.integers(100, 1000, tokens)
    return " ".join(str(number) for number in numbers)


def plan_programs(
    scenario: Scenario, rate: float, seconds: float, generator: np.random.Generator
) -> list[ProgramPlan]:
    """Return programs that arrive at `rate` a second, independent of each other."""
    shared = {
        kind.name: [
            make_text(generator, kind.shared_tokens) for _ in range(kind.shared_texts)
        ]
        for kind in scenario.kinds
    }
    plans = []
    at = 0.0
    shares = [kind.share for kind in scenario.kinds]
    while True:
        at += float(generator.exponential(1.0 / rate))
        if at > seconds:
            return plans
        kind = scenario.kinds[int(generator.choice(len(shares), p=shares))]
        texts = shared[kind.name]
        plans.append(
            ProgramPlan(
                number=len(plans),
                kind=kind.name,
                arrival=at,
                shared_text=texts[int(generator.integers(len(texts)))],
                turns=plan_turns(kind, generator),
            )
        )


def plan_turns(
    kind: ProgramKind, generator: np.random.Generator
) -> tuple[TurnPlan, ...]:
    """Return the turns of one program."""
    count = int(generator.integers(kind.turns.low, kind.turns.high + 1))
    return tuple(
        TurnPlan(
            text=make_text(generator, int(draw(generator, kind.input_tokens))),
            max_tokens=int(draw(generator, kind.output_tokens)),
            pause_seconds=draw(generator, kind.pause_seconds),
            has_sub_agent=bool(generator.random() < kind.sub_agent_share),
        )
        for _ in range(count)
    )
