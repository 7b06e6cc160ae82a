"""How urgent a call is, as engines are told.

Answers the load that the line of a box answers, where calls of several boxes meet at
one engine.
"""

from __future__ import annotations

from typing import Final

# Urgencies that engines tell apart; 0 is the most urgent.
URGENCIES: Final = 10
# With slack for this many further turns, a program isn't in a hurry.
CALM_TURNS: Final = 4.0


def compute_urgency(
    place: int,
    places: int,
    is_under_way: bool,
    slack_seconds: float | None,
    usual_seconds: float,
) -> int:
    """Return the urgency of a call, 0 to 9.

    Ranks have bands of their own, so that no call is more urgent than one whose rank
    goes before it. Where a band has room, programs under way go before new ones in it,
    and slack decides among those.

    Parameters
    ----------
    place, places : int
        The place of its rank among all ranks, 0 being the first, and their number.
    slack_seconds : float or None
        Time that its program has left beyond what it usually needs, if known.
    usual_seconds : float
        How long a turn usually takes.
    """
    bands = min(places, URGENCIES)
    width = URGENCIES // bands
    first = width * (place * bands // places)
    levels = width // 2
    if not is_under_way:
        first += levels
        levels = width - levels
    calm = int(levels * measure_calm(slack_seconds, usual_seconds))
    return first + max(0, min(levels - 1, calm))


def measure_calm(slack_seconds: float | None, usual_seconds: float) -> float:
    """Return 0 for a program without slack, to 1 for one that isn't in a hurry."""
    if slack_seconds is None or usual_seconds <= 0:
        return 1.0
    return min(1.0, max(0.0, slack_seconds / (CALM_TURNS * usual_seconds)))
