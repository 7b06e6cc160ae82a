"""A call in progress on this box, streamed to any number of readers."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

if TYPE_CHECKING:
    from cedarchute.problem import Problem
    from cedarchute.programs.records import CallFinished


class CallRun:
    """Buffers the answer of a call and, at its end, the outcome.

    A run is independent of caller connections: a caller that reconnects resumes
    reading at its offset.

    Attributes
    ----------
    attempt : int
        Number of the attempt; it changes when the answer restarts.
    chunks, chunk_ends : list
        The pieces of the text, and the length of the text after each of them.
    length : int
        Length of the text in characters.
    deadline : float
        Wall-clock time after which the call is no longer started.
    request_id : str
        ID of the request that started the run, for log lines.
    is_moved : bool
        Whether the run ended because another box owns the program now.
    """

    def __init__(
        self, key: str, digest: str, attempt: int = 0, deadline: float = 0.0
    ) -> None:
        self.key = key
        self.digest = digest
        self.deadline = deadline
        self.request_id = ""
        self.attempt = attempt
        self.chunks: list[str] = []
        self.chunk_ends: list[int] = []
        self.length = 0
        self.outcome: CallFinished | None = None
        self.problem: Problem | None = None
        self.is_moved = False
        self.is_cancelled = False
        self.progress_event = Event()
        self.waiter_count = 0

    @property
    def is_done(self) -> bool:
        """Whether the run has ended."""
        return self.outcome is not None or self.problem is not None or self.is_moved

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self.chunks)

    def read_from(self, offset: int) -> str:
        """Return the text after the first `offset` characters."""
        first = bisect_right(self.chunk_ends, offset)
        text = "".join(self.chunks[first:])
        return text[len(text) - (self.length - offset) :] if text else ""

    def add(self, text: str) -> None:
        """Append text that the engine streamed."""
        self.chunks.append(text)
        self.length += len(text)
        self.chunk_ends.append(self.length)
        self._notify()

    def restart(self, attempt: int) -> None:
        """Discard the text and start a new attempt."""
        self.attempt = attempt
        self.chunks = []
        self.chunk_ends = []
        self.length = 0
        self._notify()

    def finish(self, outcome: CallFinished) -> None:
        """End the run with an outcome that is already replicated."""
        self.outcome = outcome
        self._notify()

    def fail(self, problem: Problem) -> None:
        """End the run with an error: no outcome was recorded, or that is unknown."""
        self.problem = problem
        self._notify()

    def mark_moved(self) -> None:
        """End the run because another box owns the program now."""
        if not self.is_done:
            self.is_moved = True
            self._notify()

    def wait(self, seconds: float) -> bool:
        """Wait for new text or the end; return False on timeout."""
        if self.is_done:
            return True
        event = self.progress_event
        self.waiter_count += 1
        with eventlet.Timeout(seconds, False):
            event.wait()
            return True
        return False

    def _notify(self) -> None:
        if self.waiter_count:
            event, self.progress_event = self.progress_event, Event()
            self.waiter_count = 0
            event.send(None)
