"""The choice of a target, as a protocol with several policies."""

from __future__ import annotations

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
    prefixes : sequence of bytes
        Digests of the beginnings of the prompt, which other programs may share.
    priority : int
        What an engine orders its queue by; lower goes first.
    last_target : str or None
        Where the previous call of the program ran.
    """

    program: str
    prompt_tokens: int
    max_tokens: int
    cached_tokens: dict[str, int] = field(default_factory=dict)
    prefixes: Sequence[bytes] = ()
    priority: int = 0
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
