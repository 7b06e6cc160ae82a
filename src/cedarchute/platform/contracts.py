"""Contracts: what the platform expects of a deployment, by its names."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

# Callers compete for room, and callers and targets may be slow to read.
BOUNDED_LOAD: Final = "pressure"


def calls_for_bounded_load(contracts: Mapping[str, bool]) -> bool:
    """Return whether what is held, and who gets the room, has to be bounded."""
    return contracts.get(BOUNDED_LOAD, False)
