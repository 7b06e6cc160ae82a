"""Tells which bodies are sent too slowly to be waited for near the bound.

Answers the load of callers that announce large bodies and send them in trickles: the
room that is kept for them would be refused to others for ever.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cedarchute.pressure.held_bytes import HeldBytes

# A caller on a poor mobile link sends some 50 KB/s.
PACE_SECONDS: Final = 3.0
PACE_BYTES: Final = 49_152


class BodyPace:
    """Compares what came of a body with what must come in each interval near the bound.

    Parameters
    ----------
    held : HeldBytes
        Tells when the bound is near; without a bound no body is too slow.
    """

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self.marked_at: float | None = None
        self.marked_bytes = 0

    def restart(self) -> None:
        """Begin a new interval: another body, or this one could not be sent."""
        self.marked_at = None

    def is_too_slow(self, received: int, now: float) -> bool:
        """Return whether an interval has ended in which too little came.

        Parameters
        ----------
        received : int
            Bytes of the body that have come.
        now : float
            Monotonic time.
        """
        if not self.held.is_near_bound:
            self.marked_at = None
            return False
        if self.marked_at is None or received < self.marked_bytes:
            self.marked_at, self.marked_bytes = now, received
        if now - self.marked_at < PACE_SECONDS:
            return False
        has_come = received - self.marked_bytes
        self.marked_at, self.marked_bytes = now, received
        return has_come < PACE_BYTES
