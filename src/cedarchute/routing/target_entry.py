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
        Whether it accepts new calls; false while it is leaving.
    slots : int
        Requests that it runs concurrently.
    cold_seconds : float
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
    cold_seconds: float = 0.0
    born_ms: int = 0

    @cached_property
    def start(self) -> str:
        """Id of this incarnation; its state is lost when the target restarts."""
        return f"{self.id}@{self.born_ms}" if self.born_ms else self.id
