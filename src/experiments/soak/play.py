"""The kinds of plays, and who plays them."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from experiments.soak.fault import draw_faults
from experiments.soak.fault_player import FaultPlayer
from experiments.soak.planned_player import PlannedPlayer
from experiments.soak.step import draw_steps
from experiments.soak.turnover_player import TurnoverPlayer
from experiments.soak.turnover_step import draw_turnover

if TYPE_CHECKING:
    from collections import Counter

    from experiments.soak.soak_site import SoakSite


class Play(StrEnum):
    """What happens to the site."""

    FAULTS = "faults"
    PLANNED = "planned"
    LOSSES = "losses"
    TURNOVER = "turnover"


class Player(Protocol):
    """Does to a site what a seed says."""

    @property
    def count(self) -> int:
        """How many faults or steps are played."""
        ...

    @property
    def failures(self) -> list[str]:
        """What went wrong, a line each."""
        ...

    @property
    def figures(self) -> Counter[str]:
        """What is counted, and breaks no promise."""
        ...

    def play(self) -> None:
        """Play everything; return once all is over."""
        ...

    def close(self) -> None:
        """Leave the boxes as they are."""
        ...


def make_player(play: Play, site: SoakSite, seed: int, seconds: float) -> Player:
    """Return who plays a seed for `seconds`."""
    if play is Play.FAULTS:
        return FaultPlayer(site, draw_faults(seed, seconds))
    if play is Play.TURNOVER:
        return TurnoverPlayer(site, draw_turnover(seed, seconds), seconds)
    steps = draw_steps(seed, seconds, play is Play.LOSSES)
    return PlannedPlayer(site, steps, seconds)
