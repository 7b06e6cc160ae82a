"""When and how much of idle programs' histories is packed."""

from __future__ import annotations

from typing import Final

PACK_AFTER_SECONDS: Final = 5.0
# Characters in a second; a few milliseconds of work, less than between two tokens.
PACK_AT_ONCE: Final = 256_000
