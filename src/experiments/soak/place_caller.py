"""A caller of whichever entry is in its place in the list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from experiments.soak.kept_caller import KeptCaller

if TYPE_CHECKING:
    from experiments.soak.counting_caller import CountingCaller
    from experiments.soak.program import ProgramCaller
    from experiments.soak.soak_site import SoakSite

CALLERS: Final = 9
# Every third connects anew for each request.
NEW_SHARE: Final = 3


class PlaceCaller(KeptCaller):
    """Connects to the entry that is in its place once its connection is closed."""

    def __init__(self, number: int, seed: int, site: SoakSite) -> None:
        keeps = number % NEW_SHARE != 0
        entry = site.entries[number % len(site.entries)]
        super().__init__(number, seed, site, entry, keeps, is_ahead=number % 2 == 0)
        self.number = number

    def connect(self) -> CountingCaller | None:
        """Return the open connection, or one to the entry that is there now."""
        entries = list(self.site.entries)
        entry = entries[self.number % len(entries)]
        self.address = self.site.nodes.callers[entry]
        return super().connect()


def list_place_callers(seed: int, site: SoakSite) -> list[ProgramCaller]:
    """Return the callers that ask no directory."""
    return [PlaceCaller(number, seed, site) for number in range(CALLERS)]
