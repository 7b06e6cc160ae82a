"""One request in the stand-in of an engine."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from eventlet.event import Event


@dataclass
class Sequence:
    """One request in the engine."""

    request_id: str
    program: str
    prompt: str
    max_tokens: int
    priority: int
    seed: str
    prompt_tokens: int = 0
    to_prefill: int = 0
    cached_tokens: int = 0
    tokens: int = 0
    finish_reason: str | None = None
    arrived_at: float = field(default_factory=time.monotonic)
    progress: Event = field(default_factory=Event)

    def wake(self) -> None:
        """Let the readers look again."""
        event, self.progress = self.progress, Event()
        event.send(None)
