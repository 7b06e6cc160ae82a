"""How many connections to a target one box may open.

Answers the load of many boxes that each open connections to the same few targets: a
target resets what exceeds its bound, and with it calls of boxes that hold few.
"""

from __future__ import annotations

from math import ceil
from typing import Final

# Boxes have uneven demand: a box may open half as much again as an equal part.
UNEVEN_DEMAND_FACTOR: Final = 1.5
# One for a long call, one beside it for short ones.
MIN_SHARE: Final = 2


def compute_connection_share(max_connections: int, entry_boxes: int) -> int:
    """Return the connections to one target that one entry box may open.

    Parameters
    ----------
    max_connections : int
        Connections that the target accepts from all boxes together.
    entry_boxes : int
        Entry boxes in the directory; none are known right after a start.
    """
    equal_part = max_connections / max(1, entry_boxes)
    share = max(MIN_SHARE, ceil(UNEVEN_DEMAND_FACTOR * equal_part))
    return min(max_connections, share)


def compute_idle_share(share: int) -> int:
    """Return how many connections of a share may be kept without a call."""
    return max(1, share // 2)
