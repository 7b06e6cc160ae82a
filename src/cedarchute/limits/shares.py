"""How the rate of a workspace is shared out to the boxes."""

from __future__ import annotations

from typing import Final

# This share is dealt out evenly and needs no message; the rest is lent on demand,
# because a program calls at one home and most boxes have no call of a workspace.
EVEN_SHARE: Final = 0.5
BURST_SECONDS: Final = 2.0
# Calls come by chance: a slice of a call in ten seconds has to bear some at once.
LEAST_BURST: Final = 4.0
