"""Limits on compressing the histories of idle programs."""

from __future__ import annotations

from typing import Final

COMPRESS_AFTER_IDLE_SECONDS: Final = 5.0
# Characters compressed per reaper interval. Compression blocks the event loop, so this
# must take less time than the gap between two streamed tokens.
MAX_COMPRESSED_CHARACTERS: Final = 256_000
