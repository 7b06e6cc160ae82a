"""An engine that serves calls in batches, step by step."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from experiments.overload.load import EngineTraits
    from experiments.overload.timeline import Timeline


@dataclass
class RunningCall:
    """One call at an engine.

    Attributes
    ----------
    prompt_left, tokens_left : int
        Prompt tokens still to be read, and tokens still to be generated.
    on_event : Callable
        Called at each event, with whether it is the last.
    """

    prompt_left: int
    tokens_left: int
    on_event: Callable[[bool], None]
    made: int = 0


class ModelEngine:
    """Reads prompts in pieces between the tokens of running calls."""

    def __init__(self, name: str, traits: EngineTraits, timeline: Timeline) -> None:
        self.name = name
        self.traits = traits
        self.timeline = timeline
        self.slowness = 1.0
        self.waiting: deque[RunningCall] = deque()
        self.running: list[RunningCall] = []
        self.stepping = False

    def take(self, call: RunningCall) -> bool:
        """Take a call in, or turn it away when the queue is full."""
        if len(self.waiting) >= self.traits.queue:
            return False
        self.waiting.append(call)
        if not self.stepping:
            self.step()
        return True

    def step(self) -> None:
        """Begin one step of the batch."""
        while self.waiting and len(self.running) < self.traits.slots:
            self.running.append(self.waiting.popleft())
        self.stepping = bool(self.running)
        if not self.stepping:
            return
        decoding = [call for call in self.running if not call.prompt_left]
        read = self.read_prompts()
        traits = self.traits
        milliseconds = traits.step_ms + traits.step_ms_per_call * len(decoding)
        milliseconds += read / traits.prefill_tokens_per_ms
        seconds = milliseconds * self.slowness / 1000
        self.timeline.after(seconds, lambda: self.end_step(decoding))

    def read_prompts(self) -> int:
        """Read prompts in their order; return how many tokens were read."""
        left = self.traits.chunk_tokens
        for call in self.running:
            read = min(left, call.prompt_left)
            call.prompt_left -= read
            left -= read
        return self.traits.chunk_tokens - left

    def end_step(self, decoding: list[RunningCall]) -> None:
        """Hand out the tokens of a step, and begin the next."""
        for call in decoding:
            call.tokens_left -= 1
            call.made += 1
            is_last = call.tokens_left <= 0
            if is_last:
                self.running.remove(call)
            if is_last or call.made % self.traits.event_tokens == 0:
                call.on_event(is_last)
        self.step()
