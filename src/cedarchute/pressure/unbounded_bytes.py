"""Held bytes without a bound."""

from __future__ import annotations

from contextlib import nullcontext
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from cedarchute.pressure.held_bytes import HeldCause

NOTHING: Final = nullcontext()


class UnboundedBytes:
    """Counts nothing and never reaches a bound; implements `HeldBytes`."""

    is_near_bound = False
    is_at_bound = False
    is_full = False

    def has_room(self, count: int) -> bool:
        """Return True: there is no bound."""
        return True

    def add(self, cause: HeldCause, count: int) -> None:
        """Count nothing."""

    def remove(self, cause: HeldCause, count: int) -> None:
        """Count nothing."""

    def holding(self, cause: HeldCause, count: int) -> AbstractContextManager[None]:
        """Run the block."""
        return NOTHING


UNBOUNDED = UnboundedBytes()
