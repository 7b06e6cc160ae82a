"""What callers and back ends saw."""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from experiments.soak.contact import EVERYTHING, Contact
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
    is_turn : bool
        Whether the target runs turns.
    """

    id: str
    target: str
    body: bytes
    produced: bytes
    workspace: str = ""
    at: float = 0.0
    is_sound: bool = True
    is_turn: bool = False


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
    turn : str
        The id of the first try of the same turn.
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
    turn: str = ""


class Records:
    """Everything that happened, for the check at the end.

    Attributes
    ----------
    run_ends : dict of (str, str) to float
        When a run of an id at a target was over, monotonic.
    entry_names : dict of str to str
        Entries by the addresses at which callers reach them.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.tries: dict[str, Try] = {}
        self.budgets: dict[str, int] = {}
        self.passing = PassingKeys()
        # Beginnings and ends of unplanned faults, monotonic.
        self.disturbances: dict[int, tuple[float, float]] = {}
        self.contact = Contact()
        self.run_ends: dict[tuple[str, str], float] = {}
        self.entry_names: dict[str, str] = {}

    def add_run(self, run: Run) -> None:
        """Record that a back end began to work."""
        with self.lock:
            self.runs[run.id].append(run)

    def end_run(self, call_id: str, target: str) -> None:
        """Record that a back end is done with a run."""
        self.run_ends[call_id, target] = time.monotonic()

    def add_try(self, tried: Try) -> None:
        """Record how a try ended."""
        with self.lock:
            self.tries[tried.id] = tried

    def add_program(self, program: str, budget: int) -> None:
        """Record a program and the tokens that it may be handed."""
        with self.lock:
            self.budgets[program] = budget

    @contextmanager
    def disturbed(self, name: str = EVERYTHING) -> Iterator[None]:
        """Record that an unplanned fault lasts until the block is left.

        Parameters
        ----------
        name : str
            The box or target that it happens to.
        """
        began = time.monotonic()
        with self.lock:
            number = len(self.disturbances)
            self.disturbances[number] = (began, float("inf"))
        try:
            with self.contact.touched(name):
                yield
        finally:
            self.disturbances[number] = (began, time.monotonic())

    def was_disturbed(self, first: float, last: float) -> bool:
        """Whether an unplanned fault was under way between two moments."""
        spans = self.disturbances.values()
        return any(began <= last and ended >= first for began, ended in spans)
