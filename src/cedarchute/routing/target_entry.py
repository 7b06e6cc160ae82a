"""A target as the registry knows it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.address import Address


@dataclass(frozen=True)
class TargetEntry:
    """One start of a target; a restart is another entry.

    Attributes
    ----------
    id : str
        Names this start; an address may be handed on to another target.
    ready : bool
        Whether it takes new work; a target that is leaving does not.
    slots : int
        Requests that it works on at once.
    cold_seconds : float
        How long it stays slow, from its start.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    ready: bool
    slots: int
    cold_seconds: float = 0.0
