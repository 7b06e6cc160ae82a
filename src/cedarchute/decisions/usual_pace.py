"""Baseline times of a service's engines: to the first event, and between events."""

from __future__ import annotations

from typing import Final

from cedarchute.record import MutableRecord

# The baseline is a minimum of window means: with smaller windows it falls too low, and
# unloaded engines look slow as soon as prompts are long.
WINDOW_FIRST_EVENTS: Final = 24
WINDOW_GAPS: Final = 120
# Lets the baseline follow a lasting change of the engines within minutes, but not an
# overload of half a minute.
BASELINE_RISE_PER_SECOND: Final = 0.003
# Shorter times are those of the network and the box, not of an engine: a token takes
# some milliseconds, and an event carries several.
MIN_FIRST_EVENT_SECONDS: Final = 0.02
MIN_GAP_SECONDS: Final = 0.01


class LatencySums(MutableRecord):
    """First events and gaps between events: their number and total seconds."""

    first_events: float = 0.0
    first_event_seconds: float = 0.0
    gaps: float = 0.0
    gap_seconds: float = 0.0

    def scale(self, factor: float) -> None:
        """Multiply all sums by `factor`."""
        self.first_events *= factor
        self.first_event_seconds *= factor
        self.gaps *= factor
        self.gap_seconds *= factor


class BaselineLatency:
    """The minimum of the window means, rising slowly over time.

    Attributes
    ----------
    first_event_seconds, gap_seconds : float or None
        None until the first window is full.
    """

    def __init__(self) -> None:
        self.window = LatencySums()
        self.first_event_seconds: float | None = None
        self.gap_seconds: float | None = None
        self.window_started_at = 0.0

    @property
    def is_known(self) -> bool:
        """Whether a window has been full yet."""
        return self.first_event_seconds is not None and self.gap_seconds is not None

    def update(self, now: float) -> None:
        """Update the baseline from the window once it is full, and start a new one."""
        window = self.window
        if window.first_events < WINDOW_FIRST_EVENTS or window.gaps < WINDOW_GAPS:
            return
        first_event = max(
            MIN_FIRST_EVENT_SECONDS, window.first_event_seconds / window.first_events
        )
        gap = max(MIN_GAP_SECONDS, window.gap_seconds / window.gaps)
        rise = 1.0 + BASELINE_RISE_PER_SECOND * (now - self.window_started_at)
        self.first_event_seconds = update_baseline(
            self.first_event_seconds, rise, first_event
        )
        self.gap_seconds = update_baseline(self.gap_seconds, rise, gap)
        self.window = LatencySums()
        self.window_started_at = now


def update_baseline(baseline: float | None, rise: float, mean: float) -> float:
    """Return the lesser of a window's mean and the baseline times `rise`."""
    return mean if baseline is None else min(baseline * rise, mean)
