"""Keeps the mirror at what the store says: one listing, then one watch."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.platform.store_client import HistoryGoneError, StoreUnavailableError

if TYPE_CHECKING:
    from cedarchute.fleet.store_mirror import StoreMirror
    from cedarchute.metrics import Metrics
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.fleet")

# Between two tries of a store that does not answer. Each try costs money, and other
# boxes tell what changes meanwhile.
RETRY_SECONDS: Final = 0.5
# After changes, what follows them closely comes with the next answer: each costs
# money. A quarter of the time in which a configuration has to be in force.
GATHER_SECONDS: Final = 0.5
EVERYTHING: Final = ""


class StoreReader:
    """Reads all at first and when history is gone; waits for changes otherwise."""

    def __init__(
        self, store: StoreClient, mirror: StoreMirror, metrics: Metrics
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.metrics = metrics
        self.must_list = True
        self.task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start reading, anew if it was under way."""
        if self.task is not None:
            self.task.kill()
        self.task = eventlet.spawn(self.run_forever)

    def note_reachable(self, reachable: bool) -> None:
        """Take in whether another call to the store was answered.

        A watch whose answer was lost stays silent; once the store answers again,
        it is asked anew.
        """
        if not reachable:
            self.mirror.note_lost("a renewal was not answered")
        elif self.mirror.lost_since is not None:
            self.start()

    def run_forever(self) -> None:
        """Follow the store for the life of the process."""
        while True:
            try:
                self.read_once()
            except HistoryGoneError as error:
                self.metrics.count("store.history_gone")
                log.warning("Changes are gone, reading all.", extra={"why": str(error)})
                self.must_list = True
            except StoreUnavailableError as error:
                self.mirror.note_lost(str(error))
                eventlet.sleep(RETRY_SECONDS)

    def read_once(self) -> None:
        """Read all, if need be, or wait once for changes."""
        if self.must_list:
            listing = self.store.list(EVERYTHING)
            self.mirror.note_back()
            self.mirror.take_listing(listing)
            self.must_list = False
            return
        after = self.mirror.revision
        changes, revision = self.store.wait_changes(EVERYTHING, after)
        self.mirror.note_back()
        self.mirror.take_changes(changes, revision)
        if changes:
            eventlet.sleep(GATHER_SECONDS)
