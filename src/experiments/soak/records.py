"""What callers and back ends saw."""

from __future__ import annotations

import threading
from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum

from experiments.soak.workspaces import PassingKeys


class Kind(StrEnum):
    """What a try is."""

    ONCE = "once"
    AGAIN = "again"
    TURN = "turn"


@dataclass(frozen=True)
class Run:
    """One run at a back end; `produced` is the body of its whole answer.

    Attributes
    ----------
    workspace : str
        Whose the target was told that the call is.
    at : float
        When it began, monotonic.
    """

    id: str
    target: str
    body: bytes
    produced: bytes
    workspace: str = ""
    at: float = 0.0


@dataclass(frozen=True)
class Try:
    """One try of a caller.

    Attributes
    ----------
    status : int or None
        None when no whole answer came.
    tokens : int
        Tokens of the events that reached the caller.
    key : str
        The key that it carried, if any.
    sent_at : float
        When the caller sent it, monotonic.
    """

    id: str
    kind: Kind
    input: bytes
    status: int | None
    answer: bytes
    program: str = ""
    previous: str = ""
    tokens: int = 0
    key: str = ""
    sent_at: float = 0.0


class Records:
    """Everything that happened, for the check at the end."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.tries: dict[str, Try] = {}
        self.budgets: dict[str, int] = {}
        self.passing = PassingKeys()

    def add_run(self, run: Run) -> None:
        """Take in that a back end began to work."""
        with self.lock:
            self.runs[run.id].append(run)

    def add_try(self, tried: Try) -> None:
        """Take in how a try ended."""
        with self.lock:
            self.tries[tried.id] = tried

    def add_program(self, program: str, budget: int) -> None:
        """Take in a program and the tokens that it may be handed."""
        with self.lock:
            self.budgets[program] = budget
