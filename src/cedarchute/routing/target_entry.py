"""A target as the registry knows it."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.address import Address


class TargetEntry(Record, dict=True):
    """One start of a target; it may start again under its id.

    Attributes
    ----------
    id : str
        Names the target; an address may be handed on to another target.
    ready : bool
        Whether it takes new work; a target that is leaving does not.
    slots : int
        Requests that it works on at once.
    warmup_seconds : float
        How long it stays slow, from its start.
    born_ms : int
        When it started, by its own clock, which may differ from all others: Unix
        milliseconds; 0 when the entry does not tell.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    ready: bool
    slots: int
    warmup_seconds: float = 0.0
    started_at_ms: int = 0

    @cached_property
    def incarnation(self) -> str:
        """Names this start of the target: what it holds is gone with it."""
        return f"{self.id}@{self.started_at_ms}" if self.started_at_ms else self.id
