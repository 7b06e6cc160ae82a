"""A caller that knows one entry only and keeps its connection to it."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Final

from experiments.soak.counting_caller import CountingCaller
from experiments.soak.program import PATIENCE_SECONDS, PAUSE_SECONDS, ProgramCaller

if TYPE_CHECKING:
    from experiments.soak.soak_site import SoakSite

MOST_PAUSE_SECONDS: Final = 3.5
# One that connects anew for each request sends more of them.
MOST_NEW_PAUSE_SECONDS: Final = 0.1
KEPT_PER_ENTRY: Final = 8
NEW_PER_ENTRY: Final = 2


class KeptCaller(ProgramCaller):
    """Keeps its connection until the entry closes it, and connects there again.

    Attributes
    ----------
    keeps : bool
        Whether it keeps a connection for more than one request.
    is_ahead : bool
        Whether it connects as soon as it has no connection, before its pause.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        site: SoakSite,
        entry: str,
        keeps: bool,
        is_ahead: bool,
    ) -> None:
        super().__init__(number, seed, site)
        self.name = f"k{number}"
        self.address = site.nodes.callers[entry]
        self.keeps = keeps
        self.is_ahead = is_ahead
        self.pause_chance = random.Random(f"{seed} pauses {number}")

    def pause(self) -> None:
        """Wait before the next request; those that are left come at once."""
        if self.is_ahead:
            self.connect()
        most = MOST_PAUSE_SECONDS if self.keeps else MOST_NEW_PAUSE_SECONDS
        seconds = self.pause_chance.uniform(0.0, most)
        time.sleep(seconds if self.going else 0.0)

    def connect(self) -> CountingCaller | None:
        """Return the open connection, or a new one if the entry listens."""
        if self.caller is not None and self.is_over(self.caller):
            self.leave()
        if self.caller is not None:
            return self.caller
        try:
            self.caller = CountingCaller(self.address, PATIENCE_SECONDS)
        except OSError:
            time.sleep(PAUSE_SECONDS)
            return None
        return self.caller

    def is_over(self, caller: CountingCaller) -> bool:
        """Whether a connection is used no more."""
        return caller.is_closed or (not self.keeps and caller.requests > 0)


def list_kept_callers(seed: int, site: SoakSite) -> list[ProgramCaller]:
    """Return the callers of each entry that ask no directory."""
    callers: list[ProgramCaller] = []
    for entry in site.entries:
        for number in range(KEPT_PER_ENTRY + NEW_PER_ENTRY):
            keeps = number < KEPT_PER_ENTRY
            caller = KeptCaller(
                len(callers), seed, site, entry, keeps, is_ahead=number % 2 == 0
            )
            callers.append(caller)
    return callers
