"""When and how much of idle programs' histories is packed."""

from __future__ import annotations

from typing import Final

COMPRESS_AFTER_IDLE_SECONDS: Final = 5.0
# Characters in a second; a few milliseconds of work, less than between two tokens.
MAX_COMPRESSED_CHARACTERS: Final = 256_000
