"""What is replayed: engines, kinds of programs, and how the load rises."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True)
class EngineTraits:
    """What one engine does with a batch.

    Attributes
    ----------
    slots : int
        Calls that run at once; others wait in their order.
    queue : int
        Calls that may wait; more are turned away.
    step_ms, step_ms_per_call : float
        What one token of every running call takes: a part of its own, and a part for
        each call that runs.
    prefill_tokens_per_ms : float
        Prompt tokens read in a millisecond, between the tokens of others.
    chunk_tokens : int
        Prompt tokens read in one step at the most.
    event_tokens : int
        Tokens that one event of a stream carries.
    """

    slots: int = 16
    queue: int = 48
    step_ms: float = 3.37
    step_ms_per_call: float = 0.0109
    prefill_tokens_per_ms: float = 61.2
    chunk_tokens: int = 2048
    event_tokens: int = 8


@dataclass(frozen=True)
class ProgramKind:
    """Programs of one kind.

    Attributes
    ----------
    rank : int
        Importance of the route; 0 goes first.
    rate : float
        Programs a second at the usual load.
    turns : float
        Mean number of turns.
    first_tokens, turn_tokens : int
        Prompt tokens that no cache holds, in the first turn and in each later one.
    events : float
        Mean number of events of a turn.
    pause_ms : float
        Mean time between two turns, tools included.
    aim_factor, objective_ms : float
        A program is in time within its time on idle engines, times the factor, plus
        the objective.
    fan, width : float
        The share of turns that start sub-agents, and how many on average.
    """

    name: str
    rank: int
    rate: float
    turns: float
    first_tokens: int
    turn_tokens: int
    events: float
    pause_ms: float
    aim_factor: float
    objective_ms: float
    fan: float
    width: float = 5.0


@dataclass(frozen=True)
class Burst:
    """Load times `factor` from `start` on, for `seconds`; of one kind, or of all."""

    start: float
    seconds: float
    factor: float
    kind: str = ""


@dataclass(frozen=True)
class SlowEngines:
    """The first `count` engines take `factor` times as long, from `start` on."""

    start: float
    seconds: float
    factor: float
    count: int


@dataclass(frozen=True)
class Load:
    """One replay.

    Attributes
    ----------
    way_ms : float
        What a turn takes besides its engine: the way there and back, and its record.
    """

    kinds: tuple[ProgramKind, ...]
    engine: EngineTraits = EngineTraits()
    engines: int = 6
    boxes: int = 7
    way_ms: float = 20.0
    seconds: float = 34.0
    bursts: tuple[Burst, ...] = ()
    slow: tuple[SlowEngines, ...] = ()


# Programs on a tight aim: short questions, and long dialogues that go first.
QUESTION: Final = ProgramKind(
    "question", 1, 12.1, 3, 654, 330, 9.1, 130.0, 1.6, 250.0, 0.05
)
DIALOGUE: Final = ProgramKind(
    "dialogue", 0, 3.1, 9, 830, 400, 9.1, 90.0, 1.7, 250.0, 0.15
)
TIGHT_AIMS: Final = Load(kinds=(QUESTION, DIALOGUE))

# Programs that may take three times as long as on idle engines, with large batches.
CHAPTER: Final = ProgramKind(
    "question", 1, 7.5, 4, 1030, 600, 11, 400.0, 2.9, 200.0, 0.05
)
THESIS: Final = ProgramKind(
    "dialogue", 0, 2.4, 11, 700, 500, 11, 400.0, 2.9, 200.0, 0.15
)
LARGE_BATCHES: Final = EngineTraits(
    slots=64,
    queue=100,
    step_ms=4.63,
    step_ms_per_call=0.015,
    prefill_tokens_per_ms=37.9,
)
LOOSE_AIMS: Final = Load(kinds=(CHAPTER, THESIS), engine=LARGE_BATCHES, boxes=8)
