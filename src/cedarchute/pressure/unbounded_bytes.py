"""Held bytes without a bound."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarchute.pressure.held_bytes import HeldCause


class UnboundedBytes:
    """Counts nothing and never reaches a bound; implements `HeldBytes`."""

    is_near_bound = False
    is_at_bound = False

    def has_room(self, count: int) -> bool:
        """Return True: there is no bound."""
        return True

    def add(self, cause: HeldCause, count: int) -> None:
        """Count nothing."""

    def remove(self, cause: HeldCause, count: int) -> None:
        """Count nothing."""

    @contextmanager
    def holding(self, cause: HeldCause, count: int) -> Iterator[None]:
        """Run the block."""
        yield


UNBOUNDED = UnboundedBytes()
