"""A program's caller: lines of turns, and what it does when refused."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from experiments.overload.box import ModelTurn

if TYPE_CHECKING:
    from collections.abc import Callable

    from experiments.overload.load import ProgramKind
    from experiments.overload.replay import Replay

# A caller asks once more after a refusal, and sends a turn anew twice, as the callers
# that the load was taken from do.
TRIES_OF_A_SEND: Final = 2
SENDS_OF_A_TURN: Final = 3
RESEND_SECONDS: Final = (0.1, 0.4)
MOST_RETRY_SECONDS: Final = 1.3
FULL_RETRY_SECONDS: Final = 0.15


@dataclass
class ProgramResult:
    """How one program ended; `tries_refused` counts its refusals."""

    kind: str
    began_at: float
    soft_deadline_seconds: float
    turns: int
    tries_refused: int = 0
    ended_at: float | None = None
    failed_at: float | None = None

    @property
    def in_aim(self) -> bool:
        """Whether it ended in time."""
        if self.ended_at is None:
            return False
        return self.ended_at - self.began_at <= self.soft_deadline_seconds


@dataclass(frozen=True)
class TurnPlan:
    """What one turn will need, and the sub-agents that it starts at its end."""

    prompt_tokens: int
    tokens: int
    pause_seconds: float
    helpers: tuple[tuple[TurnPlan, ...], ...] = ()


@dataclass
class ModelProgram:
    """One program under way; its lines share what is known of it."""

    replay: Replay
    name: str
    kind: ProgramKind
    result: ProgramResult
    admitted: bool = False

    def begin(self, plan: tuple[TurnPlan, ...]) -> None:
        """Begin the program's own line."""
        Line(self, plan, self.end).send()

    def end(self) -> None:
        """Note that the program ended."""
        if self.result.failed_at is None:
            self.result.ended_at = self.replay.timeline.now

    def fail(self) -> None:
        """Give the program up."""
        self.result.failed_at = self.replay.timeline.now


class Line:
    """Turns one after the other: a program's own, or a sub-agent's."""

    def __init__(
        self,
        program: ModelProgram,
        plan: tuple[TurnPlan, ...],
        on_end: Callable[[], None],
        engine: str = "",
    ) -> None:
        self.program = program
        self.plan = plan
        self.on_end = on_end
        self.engine = engine
        self.number = 0
        self.tries = 0
        self.helpers_left = 0

    def send(self) -> None:
        """Send the turn that is due to a box drawn by chance."""
        program, replay = self.program, self.program.replay
        if program.result.failed_at is not None:
            return
        box = replay.chance.choice(replay.boxes)
        turn = self.build_turn()
        if not program.admitted:
            decision = box.decide(turn, replay.count_ranks_behind(program.kind))
            if not decision.admitted:
                self.come_back(decision.retry_after_seconds)
                return
            program.admitted = True
        if not box.send(turn, self.end_turn, self.engine):
            self.come_back(FULL_RETRY_SECONDS)

    def build_turn(self) -> ModelTurn:
        """Return the turn that is due."""
        step = self.plan[self.number]
        result = self.program.result
        passed = self.program.replay.timeline.now - result.began_at
        return ModelTurn(
            program=self.program.name,
            kind=self.program.kind.name,
            soft_deadline_seconds=max(0.0, result.soft_deadline_seconds - passed),
            waited_seconds=passed,
            prompt_tokens=step.prompt_tokens,
            tokens=step.tokens,
        )

    def come_back(self, retry_after: float) -> None:
        """Ask again after a refusal, or give the program up."""
        replay = self.program.replay
        self.tries += 1
        self.program.result.tries_refused += 1
        if self.tries >= TRIES_OF_A_SEND * SENDS_OF_A_TURN:
            self.program.fail()
            return
        wait = min(retry_after, MOST_RETRY_SECONDS)
        if self.tries % TRIES_OF_A_SEND == 0:
            wait = replay.chance.uniform(*RESEND_SECONDS)
        replay.timeline.after(wait, self.send)

    def end_turn(self, engine: str) -> None:
        """Start the sub-agents of a turn that ended, or go on."""
        self.engine = engine
        self.tries = 0
        helpers = self.plan[self.number].helpers
        self.helpers_left = len(helpers)
        for plan in helpers:
            Line(self.program, plan, self.end_helper, engine).send()
        if not helpers:
            self.go_on()

    def end_helper(self) -> None:
        """Go on once the last sub-agent has ended."""
        self.helpers_left -= 1
        if not self.helpers_left:
            self.go_on()

    def go_on(self) -> None:
        """Send the next turn after a pause, or end."""
        timeline = self.program.replay.timeline
        way = self.program.replay.load.way_ms / 1000
        step = self.plan[self.number]
        self.number += 1
        if self.number == len(self.plan):
            timeline.after(way, self.on_end)
        else:
            timeline.after(way + step.pause_seconds, self.send)
