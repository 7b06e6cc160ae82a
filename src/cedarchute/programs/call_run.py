"""A call under way on this box, which any number of readers may follow."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

if TYPE_CHECKING:
    from cedarchute.problem import Problem
    from cedarchute.programs.records import CallFinished


class CallRun:
    """The text so far and, at the end, the outcome.

    The run does not depend on the connection of any caller: a caller that goes
    away and comes back reads on where it stopped.

    Attributes
    ----------
    attempt : int
        Goes up when the answer starts again from its beginning.
    parts, ends : list
        The pieces of the text, and the length of the text after each of them.
    deadline : float
        Wall clock time after which the call is not started any more.
    request_id : str
        Of the request that started it, for the logs.
    """

    def __init__(
        self, key: str, digest: str, attempt: int = 0, deadline: float = 0.0
    ) -> None:
        self.key = key
        self.digest = digest
        self.deadline = deadline
        self.request_id = ""
        self.attempt = attempt
        self.parts: list[str] = []
        self.ends: list[int] = []
        self.length = 0
        self.outcome: CallFinished | None = None
        self.problem: Problem | None = None
        self.is_moved = False
        self.is_cancelled = False
        self.progress = Event()
        self.waiting = 0

    @property
    def is_done(self) -> bool:
        """Whether nothing more will come from this run."""
        return self.outcome is not None or self.problem is not None or self.is_moved

    @property
    def text(self) -> str:
        """The text so far."""
        return "".join(self.parts)

    def read_from(self, offset: int) -> str:
        """Return the text from `offset` characters on."""
        first = bisect_right(self.ends, offset)
        text = "".join(self.parts[first:])
        return text[len(text) - (self.length - offset) :] if text else ""

    def add(self, text: str) -> None:
        """Add text that the engine streamed."""
        self.parts.append(text)
        self.length += len(text)
        self.ends.append(self.length)
        self._wake()

    def restart(self, attempt: int) -> None:
        """Start the answer again from its beginning."""
        self.attempt = attempt
        self.parts = []
        self.ends = []
        self.length = 0
        self._wake()

    def finish(self, outcome: CallFinished) -> None:
        """Set the outcome, which holders have by now."""
        self.outcome = outcome
        self._wake()

    def fail(self, problem: Problem) -> None:
        """End without an outcome: nothing was recorded, or it is in doubt."""
        self.problem = problem
        self._wake()

    def mark_moved(self) -> None:
        """End because another box orders the program's calls now."""
        if not self.is_done:
            self.is_moved = True
            self._wake()

    def wait(self, seconds: float) -> bool:
        """Wait for progress; return False when none came in time."""
        if self.is_done:
            return True
        event = self.progress
        self.waiting += 1
        with eventlet.Timeout(seconds, False):
            event.wait()
            return True
        return False

    def _wake(self) -> None:
        if self.waiting:
            event, self.progress = self.progress, Event()
            self.waiting = 0
            event.send(None)
