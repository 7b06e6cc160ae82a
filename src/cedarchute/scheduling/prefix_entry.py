"""What is known of one beginning of prompts."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class PrefixEntry:
    """Who used one beginning of prompts, and where.

    Attributes
    ----------
    program : str
        The first program that was seen with it.
    is_shared : bool
        Whether another program was seen with it too.
    targets : dict of str to float
        When each target last computed or used it, by the monotonic clock.
    """

    program: str
    is_shared: bool = False
    targets: dict[str, float] = field(default_factory=dict)
