"""Tracks operators' requests to retire boxes and reports progress."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

from cedarchute.platform.keys import RETIRE_STATUS

if TYPE_CHECKING:
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.platform")


class Retirements:
    """Open retirement requests; the platform removes a box once completed."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.asked: set[str] = set()
        self.started: set[str] = set()

    def put(self, key: str, value: str) -> None:
        """Record a request to retire a box."""
        log.info("Operator asked to retire a box.", extra={"box": key})
        self.asked.add(key)

    def remove(self, key: str) -> None:
        """Remove a withdrawn request."""
        self.asked.discard(key)
        self.started.discard(key)

    def note_store_back(self) -> None:
        """Do nothing: retirement requests do not expire."""

    def tell_started(self, box: str) -> None:
        """Report once that the retirement of `box` is in progress."""
        if box not in self.started:
            self.tell(box, "in_progress")
            self.started.add(box)

    def tell_completed(self, box: str) -> None:
        """Report that everything the box holds is also stored elsewhere."""
        self.tell(box, "completed")

    def tell(self, box: str, state: str) -> None:
        """Write the state of a retirement to the store."""
        self.store.put(RETIRE_STATUS + box, json.dumps({"State": state}))
        log.info(
            "Retirement state written to the store.", extra={"box": box, "state": state}
        )
