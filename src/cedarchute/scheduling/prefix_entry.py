"""Index entry of one prompt prefix."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class PrefixEntry:
    """Programs and targets that used one prompt prefix.

    Attributes
    ----------
    program : str
        The first program that sent it.
    is_shared : bool
        Whether another program has sent it too.
    targets : dict of str to float
        Monotonic time of the last use on each target, in seconds.
    """

    program: str
    is_shared: bool = False
    targets: dict[str, float] = field(default_factory=dict)
