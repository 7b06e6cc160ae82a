"""Shares the loop among tasks whose bytes are there already.

Such bytes are read without waiting, and so without a turn for anybody else.
"""

from __future__ import annotations

from typing import Final

import eventlet

# After as many bytes in a row another task has its turn.
TURN_BYTES: Final = 65_536


class CooperativeTurn:
    """Counts what one task reads, and lets others run now and then.

    Attributes
    ----------
    byte_count : int
        Bytes since other tasks had their turn.
    """

    def __init__(self) -> None:
        self.byte_count = 0

    def spend(self, count: int) -> None:
        """Count bytes; other tasks have their turn after many of them."""
        self.byte_count += count
        if self.byte_count >= TURN_BYTES:
            self.byte_count = 0
            eventlet.sleep(0)
