"""A request that one box forwards to another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.membership.box_record import BoxRecord


@dataclass(frozen=True)
class ForwardedRequest:
    """A request to forward, and how long to wait for its response.

    Attributes
    ----------
    partition : str
        Partition of the program, empty for none; the wait ends when `box` no longer
        owns it.
    seconds : float
        Read timeout: the longest time without data from the other box.
    """

    partition: str
    box: BoxRecord
    method: str
    path: str
    body: bytes | None
    headers: dict[str, str]
    seconds: float
