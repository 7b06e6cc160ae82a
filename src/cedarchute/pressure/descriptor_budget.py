"""Divides the descriptors and the memory of a box among its listeners.

Answers the load of a crowd at one listener: with one common limit it takes the
descriptors that the others, the store, targets and holders need.
"""

from __future__ import annotations

import resource
from enum import Enum
from typing import Final

# What a connection costs: its task, its buffers and its objects.
CONNECTION_BYTES: Final = 24_576
BYTES_PER_MB: Final = 1_000_000
# Room for the first connections of any listener, however small the box.
MIN_CONNECTIONS: Final = 8


class ListenerKind(Enum):
    """Listeners, with their shares of the descriptors and of the memory.

    A fifth of the descriptors is left to files and to connections that this box opens.
    """

    CALLERS = (0.5, 0.2)
    PEERS = (0.15, 0.05)
    DIRECTORY = (0.08, 0.03)
    READY = (0.04, 0.01)
    METRICS = (0.03, 0.01)


class DescriptorBudget:
    """Tells how many connections each listener may have.

    Parameters
    ----------
    max_descriptors : int
        What the process may open; 0 if only the system bounds it.
    memory_mb : float
        Megabytes that the process may use.
    """

    def __init__(self, max_descriptors: int, memory_mb: float) -> None:
        self.max_descriptors = max_descriptors
        self.memory_bytes = memory_mb * BYTES_PER_MB

    def find_max_connections(self, kind: ListenerKind) -> int:
        """Return the most connections of a listener, by the limits in force now."""
        descriptor_share, memory_share = kind.value
        found = memory_share * self.memory_bytes / CONNECTION_BYTES
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        for limit in (self.max_descriptors, soft_limit):
            # An unlimited number is told as a negative one.
            if limit > 0:
                found = min(found, descriptor_share * limit)
        return max(MIN_CONNECTIONS, int(found))
