"""What a box hears of targets from other boxes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cedarchute.placement.target_belief import TargetBelief


class TargetKnowledge(Protocol):
    """Tells what other boxes know of targets."""

    def find(self, incarnation: str) -> TargetBelief | None:
        """Return what is known of a target; None if nothing recent is."""
        ...


class NoKnowledge:
    """Stands in where boxes tell each other nothing of targets."""

    def find(self, incarnation: str) -> TargetBelief | None:
        """Return None."""
        return None
