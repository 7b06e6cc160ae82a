"""How often targets crashed under one request, as all boxes agree on it."""

from __future__ import annotations

from typing import Final

from cedarchute.record import Record

# Targets that may crash under one request before it is sent to no further one.
MAX_CRASHES: Final = 3
# From this on a request is likely to be the cause, or to come back beside the cause.
SUSPECT_CRASHES: Final = 2


class CrashCount(Record, order=True):
    """Crashes of targets under a request, each sent knowing of the one before.

    The load that this answers: a request that crashes whatever runs it, sent again by
    its caller to other boxes within milliseconds; and an innocent one that was on
    targets which crash by themselves.

    Boxes exchange counts and keep the larger one, so messages may come late, twice or
    out of order. Runs side by side that end in crashes count once: none of them knew of
    the others, and a failure domain that goes dark says little about its requests.

    Attributes
    ----------
    clearances : int
        How often a target answered the request in full after a crash: it does not crash
        whatever runs it. Compared first, so crashes before a clearance do not count.
    crashes : int
        Crashes one after the other since then.
    """

    clearances: int = 0
    crashes: int = 0

    @property
    def is_suspect(self) -> bool:
        """Whether targets crashed one after the other under the request."""
        return self.crashes >= SUSPECT_CRASHES

    @property
    def is_blocking(self) -> bool:
        """Whether the request must not be sent to another target."""
        return self.crashes >= MAX_CRASHES

    def add_crash(self) -> CrashCount:
        """Return the count after a run that was sent knowing of this one crashed."""
        return CrashCount(self.clearances, self.crashes + 1)

    def clear(self) -> CrashCount:
        """Return the count after a target answered the request in full."""
        return CrashCount(self.clearances + 1, 0)


NO_CRASHES: Final = CrashCount()
