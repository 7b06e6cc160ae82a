"""How fast calls that wait for a service get places."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

from cedarchute.record import MutableRecord

if TYPE_CHECKING:
    from cedarchute.waiting.sort_key import Standing

# Bursts last several seconds, so older outcomes say little about the present one.
MEMORY_SECONDS: Final = 2.0
# Waiting time that has to be observed before calls are refused by this rate.
MIN_WAITING_SECONDS: Final = 0.5
# Without any recent place, of which this is the decayed rest, nothing is known of the
# rate: targets that restart have all of their places free at once.
MIN_PLACES: Final = 0.5


class PlacingRate(MutableRecord):
    """Places that calls got after or beside a wait, and the time that any waited.

    Counts outcomes rather than ended calls: a place that comes free here may be taken
    by another box, and this box may get places that came free there.

    Attributes
    ----------
    placed : dict of tuple to float
        Places by the standing of the calls that got them; decays exponentially.
    waiting_seconds : float
        Decays exponentially.
    at : float
        Monotonic time of the last update.
    """

    placed: dict[Standing, float] = msgspec.field(default_factory=dict)
    waiting_seconds: float = 0.0
    at: float = -math.inf

    def advance(self, now: float, any_waited: bool) -> None:
        """Decay to `now`; `any_waited` tells whether calls waited since the last."""
        kept = math.exp(-max(0.0, now - self.at) / MEMORY_SECONDS)
        self.placed = {key: places * kept for key, places in self.placed.items()}
        self.waiting_seconds *= kept
        if any_waited:
            self.waiting_seconds += MEMORY_SECONDS * (1.0 - kept)
        self.at = max(self.at, now)

    def record_placed(self, standing: Standing) -> None:
        """Count a place that a call got after it or while others waited."""
        self.placed[standing] = self.placed.get(standing, 0.0) + 1.0

    def measure(self, standing: Standing) -> float | None:
        """Return the places a second that are left for calls of a standing.

        Those that more urgent calls took are not: such calls go on coming. One place
        more than was seen is counted, as none in a short time doesn't show that there
        will be none. None while too little is known.
        """
        if self.waiting_seconds < MIN_WAITING_SECONDS:
            return None
        if sum(self.placed.values()) < MIN_PLACES:
            return None
        left = sum(places for key, places in self.placed.items() if key >= standing)
        return (left + 1.0) / self.waiting_seconds
