"""Remembers which targets hold which shared beginnings of prompts."""

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

MOST_ENTRIES: Final = 4096
BELIEVED_SECONDS: Final = 60.0


class PrefixIndex:
    """What this box has seen of shared beginnings; bounded, the oldest go first.

    Boxes do not tell each other. They agree without words: whoever knows a
    beginning as shared ranks the targets by its first chunk alike, so programs with
    the same beginning meet on the same target whichever box is their home.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: OrderedDict[bytes, PrefixEntry] = OrderedDict()

    def record_prompt(
        self, digests: Sequence[bytes], program: str, target: str
    ) -> None:
        """Note that a program's prompt was sent to a target."""
        now = self.clock.monotonic()
        for digest in digests:
            entry = self.entries.get(digest)
            if entry is None:
                entry = self.entries[digest] = PrefixEntry(program)
            elif entry.program != program:
                entry.is_shared = True
            entry.targets[target] = now
            self.entries.move_to_end(digest)
        while len(self.entries) > MOST_ENTRIES:
            self.entries.popitem(last=False)

    def count_shared_tokens(self, digests: Sequence[bytes]) -> int:
        """Return how long a beginning is that other programs were seen with."""
        shared = 0
        for number, digest in enumerate(digests, start=1):
            entry = self.entries.get(digest)
            if entry is None or not entry.is_shared:
                break
            shared = number
        return shared * CHUNK_TOKENS

    def count_cached_tokens(self, digests: Sequence[bytes], target: str) -> int:
        """Return how much of a beginning a target is believed to hold."""
        oldest = self.clock.monotonic() - BELIEVED_SECONDS
        held = 0
        for number, digest in enumerate(digests, start=1):
            entry = self.entries.get(digest)
            if entry is None or entry.targets.get(target, oldest) <= oldest:
                break
            held = number
        return held * CHUNK_TOKENS

    def choose_meeting(
        self, digests: Sequence[bytes], targets: Sequence[TargetState]
    ) -> TargetState | None:
        """Return the target on which programs with this beginning meet."""
        if not digests:
            return None
        first = digests[0].hex()
        return max(targets, key=lambda target: rank(first, target.name))
