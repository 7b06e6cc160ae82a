"""Makes the bounds of a box from its memory and its descriptors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.pressure.descriptor_budget import DescriptorBudget
from cedarchute.pressure.held_bytes_factory import BYTES_PER_MB, make_held_bytes
from cedarchute.pressure.peer_bounds import PeerBounds
from cedarchute.settings.load_sections import PressureSection

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics

# The smallest machine that a box runs on.
DEFAULT_MEMORY_MB: Final = 150.0
# A process needs a fifth of the smallest machine, connections as much again; what is
# held is copied while it is sent on, and leaves gaps behind.
HELD_MEMORY_SHARE: Final = 0.3
# Copies of turns that are sent at once, of the memory.
SENT_MEMORY_SHARE: Final = 0.1
# Turns that a holder has in memory.
STORED_MEMORY_SHARE: Final = 0.4
DEFAULT_PRESSURE: Final = PressureSection()


def make_peer_bounds(
    metrics: Metrics,
    pressure: PressureSection = DEFAULT_PRESSURE,
    memory_mb: float = DEFAULT_MEMORY_MB,
    max_descriptors: int = 0,
) -> PeerBounds:
    """Return the bounds that settings ask for, else those of the smallest machine.

    Parameters
    ----------
    memory_mb : float
        Megabytes that the process may use.
    max_descriptors : int
        Descriptors that it may open; 0 for what the system tells.
    """
    if pressure.max_held_mb is None:
        pressure = PressureSection(HELD_MEMORY_SHARE * memory_mb)
    return PeerBounds(
        make_held_bytes(pressure, metrics),
        DescriptorBudget(max_descriptors, memory_mb),
        metrics,
        int(SENT_MEMORY_SHARE * memory_mb * BYTES_PER_MB),
        int(STORED_MEMORY_SHARE * memory_mb * BYTES_PER_MB),
    )
