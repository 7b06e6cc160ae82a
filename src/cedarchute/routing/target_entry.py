"""Registry entries of targets."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.address import Address


class TargetEntry(Record, dict=True):
    """One incarnation of a target, which may restart under the same id.

    Attributes
    ----------
    id : str
        Identifies the target; its address may be reused by another one.
    ready : bool
        Whether it accepts new calls; false while it is draining.
    slots : int
        Requests that it runs concurrently.
    warmup_seconds : float
        Duration of its warm-up, from its start.
    born_ms : int
        Start time by the target's own clock, in Unix milliseconds; 0 if unknown.
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
        """Id of this incarnation; its state is lost when the target restarts."""
        return f"{self.id}@{self.started_at_ms}" if self.started_at_ms else self.id
