"""Protocol of the placement policies, which choose a target for a call."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cedarchute.scheduling.target_state import TargetState


@dataclass(frozen=True)
class PlacementRequest:
    """Input of a placement policy: one call and its program.

    Attributes
    ----------
    prompt_tokens : int
        Length of the prompt, which is the program's history and the new input.
    cached_tokens : mapping of str to int
        Estimated number of prompt tokens in the cache of each target.
    prefixes : sequence of bytes
        Digests of the prompt's prefixes, which other programs may share.
    priority : int
        Sort key of the engines' queues; lower goes first.
    last_target : str or None
        Target of the previous call of the program.
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
    """Chooses one of the available targets."""

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetState],
        random_source: random.Random,
    ) -> TargetState:
        """Return the target to send the call to."""
        ...
