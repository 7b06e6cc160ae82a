from __future__ import annotations

import time


class FakeClock:
    """The machine's clock plus what a test adds to it."""

    def __init__(self):
        self.added = 0.0

    def wall(self):
        return time.time() + self.added

    def monotonic(self):
        return time.monotonic() + self.added

    def advance(self, seconds):
        self.added += seconds
