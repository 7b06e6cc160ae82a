"""A program that makes calls, as the ledger of its workspace knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.record import MutableRecord

if TYPE_CHECKING:
    from cedarchute.decisions.program_kinds import ProgramShape

# A program past its usual length may go on; most of them have ended.
MIN_TURNS_LEFT: Final = 0.5
# How often the usual time between turns may pass until a program is less likely to go
# on, and until it surely ended. Programs don't say that they have ended.
LIKELY_PAUSES: Final = 1.5
MAX_PAUSES: Final = 4.0
# Turns are seldom closer than this.
MIN_PAUSE_SECONDS: Final = 0.2


class ProgramUnderWay(MutableRecord):
    """Turns of one program; times are monotonic.

    Attributes
    ----------
    turns : int
        Turns that the ledger was asked about.
    """

    kind: str
    started_at: float
    last_seen_at: float
    turns: int = 1

    def expect_calls(
        self, shape: ProgramShape, calls_per_turn: float, now: float
    ) -> float:
        """Return how many more calls the program is likely to make.

        Those after the last turn that was seen count too.
        """
        turns_left = max(MIN_TURNS_LEFT, shape.turns - self.turns)
        calls = turns_left * calls_per_turn + max(0.0, calls_per_turn - 1.0)
        pause = max(MIN_PAUSE_SECONDS, shape.turn_seconds)
        pauses = (now - self.last_seen_at) / pause
        fraction = (MAX_PAUSES - pauses) / (MAX_PAUSES - LIKELY_PAUSES)
        return calls * min(1.0, max(0.0, fraction))
