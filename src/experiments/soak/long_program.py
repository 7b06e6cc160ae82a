"""A program that goes on from its last answered turn until the play is over."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Final

from experiments.soak.program import (
    AMPLE_BUDGET,
    OK,
    PAUSE_SECONDS,
    ProgramCaller,
)
from experiments.soak.records import Kind

if TYPE_CHECKING:
    from experiments.soak.soak_site import SoakSite

NOT_FOUND: Final = 404
PROGRAMS: Final = 12
# Pauses of up to so long between turns: a turn may lie on the disks for a while.
MOST_PAUSES_SECONDS: Final = (0.5, 1.5, 4.0)


class LongProgram(ProgramCaller):
    """Tries each turn until it is served, and begins anew only when one is unknown.

    `finished` counts turns.
    """

    def __init__(self, number: int, seed: int, site: SoakSite) -> None:
        super().__init__(number, seed, site)
        self.name = f"l{number}"
        self.most_pause = MOST_PAUSES_SECONDS[number % len(MOST_PAUSES_SECONDS)]
        self.pause_chance = random.Random(f"{seed} long pauses {number}")

    def run_program(self) -> bool:
        """Take turns until one is unknown or the play is over."""
        self.programs += 1
        program = f"{self.name}p{self.programs}"
        self.records.add_program(program, AMPLE_BUDGET)
        previous = turn = ""
        while self.going:
            tried = self.send(Kind.TURN, program, AMPLE_BUDGET, previous, turn)
            turn = turn or tried.id
            if tried.status == NOT_FOUND:
                return False
            if tried.status != OK:
                time.sleep(PAUSE_SECONDS)
                continue
            previous, turn = tried.id, ""
            self.answered_turns += 1
            self.finished += 1
            time.sleep(self.pause_chance.uniform(0.0, self.most_pause))
        return False


def list_long_programs(seed: int, site: SoakSite) -> list[ProgramCaller]:
    """Return the programs of a site that last as long as the play."""
    return [LongProgram(number, seed, site) for number in range(PROGRAMS)]
