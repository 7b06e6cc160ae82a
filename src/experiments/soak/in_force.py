"""Whether an entry serves by the newest configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from experiments.raw_caller import call
from experiments.soak.records import Kind, Try
from experiments.soak.workspaces import MAIN_KEY

if TYPE_CHECKING:
    from experiments.soak.soak_site import SoakSite

OK: Final = 200
NOT_FOUND: Final = 404
# The id of the calls that look for the newest configuration.
LOOK: Final = "look"


def is_in_force(site: SoakSite, entry: str) -> bool:
    """Whether an entry serves the newest configuration's own route."""
    return ask_newest_route(site, entry) == OK


def ask_newest_route(site: SoakSite, entry: str) -> int | None:
    """Return the status of a call to that route; `NOT_FOUND` before it is in force."""
    site.records.add_try(Try(LOOK, Kind.AGAIN, b"", None, b""))
    path = f"{site.mark}x".encode()
    address = site.nodes.callers[entry]
    try:
        headers = f"Authorization: Token {MAIN_KEY}\r\n".encode()
        return call(address, path, LOOK.encode(), headers=headers)[0]
    except (OSError, AssertionError, ValueError, IndexError):
        return None
