"""Share of their soft deadline that programs of a route use on unloaded engines.

Callers set soft deadlines of different length. Where they are long, a burst can be
admitted and slowed down; where they are short, it has to be shed early. A box learns
which case applies from the programs whose turns it sees end.
"""

from __future__ import annotations

from typing import Final

# Assumed until the first window is full: the usage of programs that may take 2.5 times
# as long. Low, so that programs are admitted rather than shed while nothing is known.
DEFAULT_USAGE: Final = 0.4
# Turns per window; a busy box sees them within seconds.
WINDOW_TURNS: Final = 20
# Most turns end midway through a program, so a high quantile stands for its end; a
# higher one would pick up programs that loop without end.
QUANTILE: Final = 0.8
# Above this slowdown the time used includes queueing, not the engines alone.
MAX_SLOWDOWN: Final = 1.5
# The first turns that a new or idle box sees are those of programs that have just
# begun, which look as if they used little of their time.
WARMUP_SECONDS: Final = 5.0
# Bounds of the share; above the upper one a program is late.
MAX_USAGE: Final = 1.0
MIN_USAGE: Final = 0.1


class DeadlineUsage:
    """Estimates the share of their soft deadline that programs have used at their end.

    Attributes
    ----------
    share : float
        Time used at the end of a program, as a share of its soft deadline.
    """

    def __init__(self) -> None:
        self.share = DEFAULT_USAGE
        self.window: list[float] = []
        self.completed_windows = 0
        self.first_turn_at: float | None = None

    def record_turn(
        self, now: float, slowdown: float, used_seconds: float, left_seconds: float
    ) -> None:
        """Record the end of a turn.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        slowdown : float
            Current latency of calls relative to the baseline.
        used_seconds, left_seconds : float
            Time since the program was first requested, and time left until its soft
            deadline.
        """
        deadline_seconds = used_seconds + left_seconds
        if self.first_turn_at is None:
            self.first_turn_at = now
        is_warm = now - self.first_turn_at >= WARMUP_SECONDS
        if deadline_seconds <= 0 or not is_warm or slowdown > MAX_SLOWDOWN:
            return
        unloaded_seconds = used_seconds / max(1.0, slowdown)
        self.window.append(min(MAX_USAGE, unloaded_seconds / deadline_seconds))
        if len(self.window) >= WINDOW_TURNS:
            self.fold_window()

    def fold_window(self) -> None:
        """Average the full window with the previous estimate and start a new one."""
        self.window.sort()
        quantile = max(MIN_USAGE, self.window[int(QUANTILE * len(self.window))])
        self.share = (self.share + quantile) / 2 if self.completed_windows else quantile
        self.completed_windows += 1
        self.window = []
