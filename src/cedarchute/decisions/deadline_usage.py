"""How much of the time that they should take programs of one kind use when all is calm.

Answers load on callers of unlike patience: where programs may take three times as long
as on idle engines, a burst is best let in and slowed down; where they may take half as
long again, it has to be refused early. Nobody tells a box which it is; the programs
that it sees end their turns do.
"""

from __future__ import annotations

from typing import Final

# Until a window is full: of programs that may take 2.5 times as long. Whoever does not
# know yet lets in what might be in time.
DEFAULT: Final = 0.4
# Turns of a window, some seconds at a busy box.
WINDOW: Final = 20
# Turns end all along a program; the last ones of most programs lie above this share of
# all. Higher, programs that loop without end would count.
QUANTILE: Final = 0.8
# At higher slowdowns waits are part of the time used, not the engines alone.
MOST_SLOWDOWN: Final = 1.5
# While a box has seen nothing for longer than this, only programs that began a moment
# ago end turns: they would look as if they used little.
WARM_SECONDS: Final = 5.0
# Beyond this a program is late, by whatever.
MOST: Final = 1.0
LEAST: Final = 0.1


class DeadlineUsage:
    """The share of their time at which programs of one kind end.

    Attributes
    ----------
    share : float
        Time used at the end, by the time that programs should take.
    """

    def __init__(self) -> None:
        self.share = DEFAULT
        self.window: list[float] = []
        self.windows = 0
        self.first_at: float | None = None

    def record_turn(
        self, now: float, slowdown: float, used_seconds: float, left_seconds: float
    ) -> None:
        """Take in the end of a turn.

        Parameters
        ----------
        now : float
            Seconds of a steady clock.
        slowdown : float
            Times that calls take now, of what they usually take.
        used_seconds, left_seconds : float
            Since the program was first asked for, and until it should be over.
        """
        whole = used_seconds + left_seconds
        if self.first_at is None:
            self.first_at = now
        is_warm = now - self.first_at >= WARM_SECONDS
        if whole <= 0 or not is_warm or slowdown > MOST_SLOWDOWN:
            return
        calm_seconds = used_seconds / max(1.0, slowdown)
        self.window.append(min(MOST, calm_seconds / whole))
        if len(self.window) >= WINDOW:
            self.take_in()

    def take_in(self) -> None:
        """Believe the window as much as all before it, and begin another."""
        self.window.sort()
        seen = max(LEAST, self.window[int(QUANTILE * len(self.window))])
        self.share = (self.share + seen) / 2 if self.windows else seen
        self.windows += 1
        self.window = []
