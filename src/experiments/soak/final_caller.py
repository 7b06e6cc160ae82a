"""Callers that go on with kept turns after the last fault."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from experiments.soak.program import AMPLE_BUDGET, OK, PAUSE_SECONDS, ProgramCaller
from experiments.soak.records import Kind
from experiments.soak.unserved_turns import NO_BUDGET

if TYPE_CHECKING:
    from experiments.soak.records import Records
    from experiments.soak.soak_site import SoakSite


@dataclass(frozen=True)
class KeptTurn:
    """The last turn of a program that was answered whole."""

    id: str
    program: str
    budget: int


class FinalCaller(ProgramCaller):
    """Tries its turns in a circle until each was answered.

    Attributes
    ----------
    until : float
        When it gives up, monotonic.
    """

    def __init__(
        self, number: int, seed: int, site: SoakSite, kept: list[KeptTurn]
    ) -> None:
        super().__init__(number, seed, site)
        self.name = f"z{number}"
        self.kept = kept
        self.until = 0.0

    def work(self) -> None:
        """Go on with each turn."""
        turns: dict[str, str] = {}
        waiting = list(self.kept)
        while waiting and time.monotonic() < self.until:
            turn = waiting.pop(0)
            tried = self.send(
                Kind.TURN, turn.program, turn.budget, turn.id, turns.get(turn.id, "")
            )
            turns.setdefault(turn.id, tried.id)
            if tried.status not in (OK, NO_BUDGET):
                waiting.append(turn)
                time.sleep(PAUSE_SECONDS)

    def take_first_turn(self) -> None:
        """Return as soon as the first turn of a new program was answered."""
        program = f"{self.name}p"
        self.records.add_program(program, AMPLE_BUDGET)
        self.take_turn(program, AMPLE_BUDGET, "")
        self.leave()


def list_kept_turns(records: Records, until: float) -> list[KeptTurn]:
    """Return the last turn of each program that was answered whole by then."""
    last = {
        tried.program: tried
        for tried in list(records.tries.values())
        if tried.kind is Kind.TURN
        and tried.status == OK
        and tried.ending is not None
        and tried.ending.ended_at <= until
    }
    return [
        KeptTurn(tried.id, program, records.budgets[program])
        for program, tried in last.items()
    ]
