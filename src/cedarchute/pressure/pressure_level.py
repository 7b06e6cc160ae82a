"""How close a box is to the bound on the bytes that it holds."""

from __future__ import annotations

from enum import IntEnum


class PressureLevel(IntEnum):
    """Levels in rising order; each includes what the ones below it ask for."""

    NORMAL = 0
    NEAR_BOUND = 1
    AT_BOUND = 2
