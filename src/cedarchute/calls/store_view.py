"""What a call can learn of how current this box's view of the store is."""

from __future__ import annotations

from typing import Final, Protocol


class StoreView(Protocol):
    """Reports the age of what this box knows of the store's entries."""

    @property
    def complete_age_seconds(self) -> float:
        """Time since the known entries were last confirmed to be all there are."""
        ...

    @property
    def is_store_lost(self) -> bool:
        """Whether the store gave this box no answer lately."""
        ...

    def refresh(self, seconds: float) -> None:
        """Have the entries confirmed again; wait `seconds` at most."""
        ...


class CurrentView:
    """A view that is always current; implements `StoreView`."""

    complete_age_seconds = 0.0
    is_store_lost = False

    def refresh(self, seconds: float) -> None:
        """Do nothing."""


CURRENT_VIEW: Final = CurrentView()
