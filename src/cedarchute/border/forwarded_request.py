"""A request as one box passes it on to another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.membership.box_record import BoxRecord


@dataclass(frozen=True)
class ForwardedRequest:
    """What the other box is to answer, and how long this one waits for it.

    Attributes
    ----------
    partition : str
        The partition of the program; the wait ends when `box` no longer owns it.
    seconds : float
        How long the other box may say nothing.
    """

    partition: str
    box: BoxRecord
    method: str
    path: str
    body: bytes | None
    headers: dict[str, str]
    seconds: float
