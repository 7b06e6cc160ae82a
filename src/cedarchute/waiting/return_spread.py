"""When refused callers come back."""

from __future__ import annotations

from collections import deque
from typing import Final

# As long as the first ones take to come back: these are the ones who come with them.
MOMENT_SECONDS: Final = 1.0
# A target that was full has a free place again within some such time.
FIRST_RETURN_SECONDS: Final = 0.15
# Spacing of returns while it isn't known how fast places come free.
DEFAULT_SPACING_SECONDS: Final = 0.03
# Callers honour no longer wait, and one that comes back later has no time left to be
# served in.
MAX_SHARE_OF_TIME_LEFT: Final = 1 / 3


class ReturnSpread:
    """Spreads the returns of callers that were refused in the same moment.

    Callers that are refused later come back later, at the pace at which places come
    free. All at once, they would be refused again.
    """

    def __init__(self) -> None:
        self.refused_at: deque[float] = deque()

    def pick_seconds(self, now: float, deadline: float, rate: float | None) -> float:
        """Return the seconds after which the next refused caller comes back.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the caller gives up.
        rate : float or None
            Places a second that come free, if known.
        """
        while self.refused_at and self.refused_at[0] <= now - MOMENT_SECONDS:
            self.refused_at.popleft()
        spacing = DEFAULT_SPACING_SECONDS if not rate else 1.0 / rate
        seconds = FIRST_RETURN_SECONDS + len(self.refused_at) * spacing
        self.refused_at.append(now)
        return min(seconds, MAX_SHARE_OF_TIME_LEFT * max(0.0, deadline - now))
