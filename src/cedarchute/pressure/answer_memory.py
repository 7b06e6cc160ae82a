"""The memory that a box has for what it holds of answers, shared by all calls.

Answers the load of many targets that send without end: with a limit for one answer
alone, what they hold together grows with the number of calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.pressure.unbounded_bytes import UNBOUNDED

if TYPE_CHECKING:
    from cedarchute.pressure.held_bytes import HeldBytes, HeldCause

# Each answer may hold one read of a socket, whatever others hold.
MIN_ANSWER_BYTES: Final = 65_536


class AnswerMemory:
    """Lets an answer hold as much as is free at most.

    A few long answers may hold much; the more there are, the less each may hold, and
    some room always remains for others (Choudhury and Hahne, "Dynamic queue length
    thresholds", 1998).

    Parameters
    ----------
    max_bytes : int
        What all answers may hold together.
    held : HeldBytes
        Counts the same bytes beside those held for other causes.

    Attributes
    ----------
    count : int
        Bytes that are held now.
    """

    def __init__(self, max_bytes: int, held: HeldBytes = UNBOUNDED) -> None:
        self.max_bytes = max_bytes
        self.held = held
        self.count = 0

    def allows(self, count: int) -> bool:
        """Return whether one answer may hold `count` bytes, all of them counted."""
        return count <= max(MIN_ANSWER_BYTES, self.max_bytes - self.count)

    def add(self, cause: HeldCause, count: int) -> None:
        """Count bytes that are held from now on."""
        self.count += count
        self.held.add(cause, count)

    def remove(self, cause: HeldCause, count: int) -> None:
        """Count bytes that are no longer held."""
        self.count -= count
        self.held.remove(cause, count)
