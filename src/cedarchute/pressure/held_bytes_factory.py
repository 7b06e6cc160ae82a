"""Makes the count of held bytes that the settings ask for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.pressure.held_byte_account import HeldByteAccount
from cedarchute.pressure.unbounded_bytes import UNBOUNDED

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.pressure.held_bytes import HeldBytes
    from cedarchute.settings.load_sections import PressureSection

BYTES_PER_MB: Final = 1_000_000


def make_held_bytes(settings: PressureSection, metrics: Metrics) -> HeldBytes:
    """Return an account with the bound of `settings`; without one nothing counts."""
    if not settings.max_held_mb:
        return UNBOUNDED
    return HeldByteAccount(int(settings.max_held_mb * BYTES_PER_MB), metrics)
