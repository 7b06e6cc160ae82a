"""Index of shared prompt prefixes and the targets that have them cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from cedarchute.membership.rank import rank
from cedarchute.scheduling.prefix_digests import CHUNK_TOKENS
from cedarchute.scheduling.prefix_entry import PrefixEntry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarchute.clock import Clock
    from cedarchute.scheduling.target_state import TargetState

MAX_ENTRIES: Final = 4096
ENTRY_TTL_SECONDS: Final = 60.0


class PrefixIndex:
    """Bounded LRU index of the prompt prefixes that this box has sent to targets.

    Boxes do not exchange their indexes. Given the same targets, every box picks the
    same affinity target for a prefix by rendezvous hashing of its first chunk, so
    programs with a shared prefix run on one target whichever box is their home.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: OrderedDict[bytes, PrefixEntry] = OrderedDict()

    def record_prompt(
        self, digests: Sequence[bytes], program: str, target: str
    ) -> None:
        """Record that a prompt of `program` was sent to `target`."""
        now = self.clock.monotonic()
        for digest in digests:
            entry = self.entries.get(digest)
            if entry is None:
                entry = self.entries[digest] = PrefixEntry(program)
            elif entry.program != program:
                entry.is_shared = True
            entry.targets[target] = now
            self.entries.move_to_end(digest)
        while len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)

    def count_shared_tokens(self, digests: Sequence[bytes]) -> int:
        """Return the length in tokens of the longest shared prefix."""
        shared = 0
        for number, digest in enumerate(digests, start=1):
            entry = self.entries.get(digest)
            if entry is None or not entry.is_shared:
                break
            shared = number
        return shared * CHUNK_TOKENS

    def count_cached_tokens(self, digests: Sequence[bytes], target: str) -> int:
        """Return the estimated number of prefix tokens in the cache of a target."""
        oldest = self.clock.monotonic() - ENTRY_TTL_SECONDS
        cached = 0
        for number, digest in enumerate(digests, start=1):
            entry = self.entries.get(digest)
            if entry is None or entry.targets.get(target, oldest) <= oldest:
                break
            cached = number
        return cached * CHUNK_TOKENS

    def choose_affinity_target(
        self, digests: Sequence[bytes], targets: Sequence[TargetState]
    ) -> TargetState | None:
        """Return the affinity target of a prefix; None for a prompt without digests."""
        if not digests:
            return None
        first = digests[0].hex()
        return max(targets, key=lambda target: rank(first, target.name))
