"""Looks from time to time whether the store went back to an older file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.platform.store_client import StoreUnavailableError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cedarchute.operators.applier import Applier

LEAST_SECONDS: Final = 2.0
LOOKS_A_SECOND: Final = 4.0
SPREAD: Final = 0.5


class StoreRepairer:
    """Lets the boxes take turns by chance, so that the looks do not grow with them.

    Any box can repair the store, so it does not matter which one looks first.
    """

    def __init__(
        self,
        applier: Applier,
        count_boxes: Callable[[], int],
        random_source: random.Random,
    ) -> None:
        self.applier = applier
        self.count_boxes = count_boxes
        self.random_source = random_source

    @property
    def seconds(self) -> float:
        """Mean time between two looks of this box.

        All boxes together look `LOOKS_A_SECOND` times a second, however many.
        """
        return max(LEAST_SECONDS, self.count_boxes() / LOOKS_A_SECOND)

    def repair_forever(self) -> None:
        """Write the configuration back to a store that was set back."""
        while True:
            spread = self.random_source.uniform(1.0 - SPREAD, 1.0 + SPREAD)
            eventlet.sleep(self.seconds * spread)
            try:
                self.applier.repair()
            except StoreUnavailableError:
                continue
