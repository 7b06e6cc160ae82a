"""How many boxes a site has, and how many disks it may lose at once."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

DOMAINS: Final = "abcdefgh"
# Seats, losses and spares that come with the start.
DRAWN: Final = ((3, 1, 0), (3, 1, 1), (4, 1, 0), (4, 1, 1), (5, 2, 0), (5, 2, 1))
# Most sites of users bear one loss.
WEIGHTS: Final = (3, 4, 4, 3, 1, 1)


@dataclass(frozen=True)
class Shape:
    """The holders of a site.

    Attributes
    ----------
    seats : int
        Holders that start with the site, each in a failure domain of its own.
    losses : int
        Disks that may be lost at once.
    spares : int
        Holders that start once the seats are taken.
    """

    seats: int = 3
    losses: int = 1
    spares: int = 0

    @property
    def domains(self) -> str:
        """A letter for each failure domain."""
        return DOMAINS[: self.seats]


def draw_shape(seed: int) -> Shape:
    """Return the shape of a site, as its seed says."""
    drawn = random.Random(f"{seed} shape").choices(DRAWN, WEIGHTS)[0]
    return Shape(*drawn)
