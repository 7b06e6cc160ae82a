"""Pinning of shared prompt prefixes in the engines' caches."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.programs.records import ChatMessage
from cedarchute.scheduling.pinned_prefix_key import make_pinned_prefix_key
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

MIN_PREFIX_TOKENS: Final = 128
LOWEST_PRIORITY: Final = 2**31 - 1
REQUEST_TIMEOUT_SECONDS: Final = 10.0
# Minimum time between attempts to pin a prefix on a target after a failure, so that a
# busy engine isn't asked again with each call that ends there.
RETRY_SECONDS: Final = 5.0
MAX_TRACKED_KEYS: Final = 4096


class PrefixPinner:
    """Pins shared prefixes in an engine's cache under a cache key of their own.

    An engine frees cached tokens when the last program that uses them is released,
    so a prefix would be recomputed when no two of its programs overlap. The key
    contains the interval in which it was made and the digest of the prefix, so all
    boxes derive the same key without coordination. The cache sweeper releases the
    key at the end of the following interval, also when the box that made it is gone.

    Parameters
    ----------
    get_interval_seconds : callable
        Returns the length of the interval in seconds; 0 disables pinning.
    """

    def __init__(
        self,
        engines: EngineClient,
        index: PrefixIndex,
        get_interval_seconds: Callable[[], float],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.engines = engines
        self.index = index
        self.get_interval_seconds = get_interval_seconds
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
        """Pin the shared prefix of a prompt that a target has just computed.

        The messages are read only when the prefix is not pinned yet.
        """
        seconds = self.get_interval_seconds()
        tokens = self.index.count_shared_tokens(prefixes)
        if seconds <= 0 or tokens < MIN_PREFIX_TOKENS:
            return
        digest = prefixes[tokens // CHUNK_TOKENS - 1]
        key = make_pinned_prefix_key(self.clock.wall(), seconds, digest)
        now = self.clock.monotonic()
        if now < self.not_before.get((target.name, key), now):
            return
        # Pinned once per interval; only a failure allows another attempt.
        self.not_before[(target.name, key)] = float("inf")
        if len(self.not_before) > MAX_TRACKED_KEYS:
            del self.not_before[next(iter(self.not_before))]
        prefix_messages = truncate_messages(read_messages(), tokens * 4)
        eventlet.spawn_n(self.pin, target, model, key, prefix_messages)

    def pin(
        self,
        target: TargetState,
        model: str,
        key: str,
        prefix_messages: Sequence[ChatMessage],
    ) -> None:
        """Generate one token after the prefix, under the cache key that pins it."""
        request = GenerateRequest(
            request_id=key,
            program=key,
            model=model,
            messages=prefix_messages,
            max_tokens=1,
            priority=LOWEST_PRIORITY,
        )
        try:
            for _ in self.engines.generate(
                target.section.address, request, REQUEST_TIMEOUT_SECONDS
            ):
                pass
        except TargetError as error:
            self.metrics.count("shared.failed")
            log.info("Shared prefix not pinned on %s: %s.", target.name, error)
            retry_at = self.clock.monotonic() + RETRY_SECONDS
            self.not_before[(target.name, key)] = retry_at
            return
        self.metrics.count("shared.held")


def truncate_messages(
    messages: Sequence[ChatMessage], characters: int
) -> tuple[ChatMessage, ...]:
    """Return the messages up to a total length, with the last one truncated."""
    prefix_messages = []
    for message in messages:
        prefix_messages.append(
            ChatMessage(role=message.role, content=message.content[:characters])
        )
        characters -= len(message.content) + 1
        if characters <= 0:
            break
    return tuple(prefix_messages)
