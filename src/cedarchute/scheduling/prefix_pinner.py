"""Keeps shared beginnings of prompts in engines' caches past their programs' ends."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.programs.records import ChatMessage
from cedarchute.scheduling.pinned_prefix_key import make_shared_name
from cedarchute.scheduling.prefix_digests import CHUNK_TOKENS
from cedarchute.targets.generate_request import GenerateRequest
from cedarchute.targets.target_error import TargetError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cedarchute.clock import Clock
    from cedarchute.metrics import Metrics
    from cedarchute.scheduling.prefix_index import PrefixIndex
    from cedarchute.scheduling.target_state import TargetState
    from cedarchute.targets.engine_client import EngineClient

log = logging.getLogger("cedarchute.release")

LEAST_TOKENS: Final = 128
LAST_PRIORITY: Final = 2**31 - 1
SECONDS_ALLOWED: Final = 10.0
# A busy engine is not asked again with each call that ends there.
RETRY_SECONDS: Final = 5.0
MOST_REMEMBERED: Final = 4096


class PrefixPinner:
    """Makes a shared beginning belong to a name of its own at an engine.

    An engine frees what only an ended program needs. Without a name of its own a
    source text would be freed between two programs that read it, and computed
    again. The name carries a span of time, so every box makes the same one without
    asking another, and the sweep frees it when that span and the next are over,
    whether or not the boxes that used it still run.

    Parameters
    ----------
    find_seconds : callable
        Returns the length of a span in seconds; 0 when nothing is to be held.
    """

    def __init__(
        self,
        engines: EngineClient,
        index: PrefixIndex,
        find_seconds: Callable[[], float],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.engines = engines
        self.index = index
        self.find_seconds = find_seconds
        self.clock = clock
        self.metrics = metrics
        self.not_before: dict[tuple[str, str], float] = {}

    def on_call_finished(
        self,
        target: TargetState,
        model: str,
        prefixes: Sequence[bytes],
        read_messages: Callable[[], Sequence[ChatMessage]],
    ) -> None:
        """Hold the shared beginning of a prompt that a target has just computed.

        The messages are read only when it is not held yet.
        """
        seconds = self.find_seconds()
        tokens = self.index.count_shared_tokens(prefixes)
        if seconds <= 0 or tokens < LEAST_TOKENS:
            return
        digest = prefixes[tokens // CHUNK_TOKENS - 1]
        name = make_shared_name(self.clock.wall(), seconds, digest)
        now = self.clock.monotonic()
        if now < self.not_before.get((target.name, name), now):
            return
        # Once in its span; sooner only when it fails.
        self.not_before[(target.name, name)] = float("inf")
        if len(self.not_before) > MOST_REMEMBERED:
            del self.not_before[next(iter(self.not_before))]
        beginning = cut_messages(read_messages(), tokens * 4)
        eventlet.spawn_n(self.hold, target, model, name, beginning)

    def hold(
        self,
        target: TargetState,
        model: str,
        name: str,
        beginning: Sequence[ChatMessage],
    ) -> None:
        """Ask for one token after the beginning, under the name that holds it."""
        request = GenerateRequest(
            request_id=name,
            program=name,
            model=model,
            messages=beginning,
            max_tokens=1,
            priority=LAST_PRIORITY,
        )
        try:
            for _ in self.engines.generate(
                target.section.address, request, SECONDS_ALLOWED
            ):
                pass
        except TargetError as error:
            self.metrics.count("shared.failed")
            log.info("Shared beginning not held on %s: %s.", target.name, error)
            again = self.clock.monotonic() + RETRY_SECONDS
            self.not_before[(target.name, name)] = again
            return
        self.metrics.count("shared.held")


def cut_messages(
    messages: Sequence[ChatMessage], characters: int
) -> tuple[ChatMessage, ...]:
    """Return the messages up to a number of characters, the last one cut there."""
    beginning = []
    for message in messages:
        beginning.append(
            ChatMessage(role=message.role, content=message.content[:characters])
        )
        characters -= len(message.content) + 1
        if characters <= 0:
            break
    return tuple(beginning)
