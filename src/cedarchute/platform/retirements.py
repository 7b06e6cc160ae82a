"""Boxes that an operator wants emptied, and what we tell of it."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

from cedarchute.platform.keys import RETIRE_STATUS

if TYPE_CHECKING:
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.platform")


class Retirements:
    """Follows the operator's requests; the platform removes a box once completed."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.asked: set[str] = set()
        self.started: set[str] = set()

    def put(self, key: str, value: str) -> None:
        """Take in that a box is to be emptied."""
        log.info("Box is to be emptied.", extra={"box": key})
        self.asked.add(key)

    def remove(self, key: str) -> None:
        """Take in that nobody asks for it any more."""
        self.asked.discard(key)
        self.started.discard(key)

    def note_store_back(self) -> None:
        """Nothing of it lapses."""

    def tell_started(self, box: str) -> None:
        """Tell the operator once that it is under way."""
        if box not in self.started:
            self.tell(box, "in_progress")
            self.started.add(box)

    def tell_completed(self, box: str) -> None:
        """Tell the operator that the box holds nothing that is not elsewhere."""
        self.tell(box, "completed")

    def tell(self, box: str, state: str) -> None:
        """Write the state of a request down."""
        self.store.put(RETIRE_STATUS + box, json.dumps({"State": state}))
        log.info("Retirement told.", extra={"box": box, "state": state})
