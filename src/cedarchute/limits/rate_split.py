"""How the rate of a workspace is split among the boxes."""

from __future__ import annotations

from typing import Final

# This share is split evenly and needs no message; the rest is lent on demand,
# because a program calls at one home and most boxes have no call of a workspace.
STATIC_SHARE: Final = 0.5
BURST_SECONDS: Final = 2.0
# Lets a box with a very low rate accept a few calls that arrive close together: calls
# arrive at random, and its rate may be one call in ten seconds.
MIN_BURST: Final = 4.0
