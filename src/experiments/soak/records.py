"""What callers and back ends saw."""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from experiments.soak.workspaces import PassingKeys

if TYPE_CHECKING:
    from collections.abc import Iterator

    from experiments.soak.ending import Ending


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
    is_sound : bool
        Whether the target means to answer it whole.
    """

    id: str
    target: str
    body: bytes
    produced: bytes
    workspace: str = ""
    at: float = 0.0
    is_sound: bool = True


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
    ending : Ending or None
        None when there was no connection to send it on.
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
    ending: Ending | None = None


class Records:
    """Everything that happened, for the check at the end."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.tries: dict[str, Try] = {}
        self.budgets: dict[str, int] = {}
        self.passing = PassingKeys()
        # Beginnings and ends of unplanned faults, monotonic.
        self.disturbances: dict[int, tuple[float, float]] = {}

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

    @contextmanager
    def disturbed(self) -> Iterator[None]:
        """Take in that an unplanned fault lasts until the block is left."""
        began = time.monotonic()
        with self.lock:
            number = len(self.disturbances)
            self.disturbances[number] = (began, float("inf"))
        try:
            yield
        finally:
            self.disturbances[number] = (began, time.monotonic())

    def was_disturbed(self, first: float, last: float) -> bool:
        """Whether an unplanned fault was under way between two moments."""
        spans = self.disturbances.values()
        return any(began <= last and ended >= first for began, ended in spans)
