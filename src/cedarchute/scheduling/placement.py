"""The choice of a target, as a protocol with several policies."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarchute.scheduling.target_state import TargetState


@dataclass(frozen=True)
class PlacementRequest:
    """What a policy may know of a call when it chooses.

    Attributes
    ----------
    prompt_tokens : int
        The whole history with the new input.
    cached_tokens : mapping of str to int
        For each target, how much of the history it is believed to have cached.
    prefix : str
        A digest of the first message, which other programs may share.
    prefix_tokens : int
        The length of the first message.
    last_target : str or None
        Where the previous call of the program ran.
    """

    program: str
    prompt_tokens: int
    max_tokens: int
    cached_tokens: dict[str, int] = field(default_factory=dict)
    prefix: str = ""
    prefix_tokens: int = 0
    last_target: str | None = None
    failure_domain: str = ""


class PlacementPolicy(Protocol):
    """Chooses one of some targets, all of which may be used."""

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetState],
        random_source: random.Random,
    ) -> TargetState:
        """Return the target that the call goes to."""
        ...


def digest_prefix(text: str) -> str:
    """Return a short digest of a first message."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
