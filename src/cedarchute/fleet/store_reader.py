"""Keeps the mirror at what the store says: one listing, then what changes."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.address import Address
from cedarchute.fleet.state_client import StateClient, StateNotToldError
from cedarchute.platform.store_client import (
    WATCH_WAIT_SECONDS,
    HistoryGoneError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from cedarchute.fleet.box_entry import BoxEntry
    from cedarchute.fleet.reader_choice import ReaderChoice
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
# A reader that says nothing for this long is taken for lost. Together with reading
# the store then, well within the time in which a configuration has to be in force.
LISTEN_SECONDS: Final = 0.8
# After its reader was lost a box reads the store itself for this long: longer than
# the entry of a box that died stands.
OWN_READING_SECONDS: Final = 4.0


class StoreReader:
    """Reads all at first and when history is gone, and follows what changes then.

    A few boxes of each failure domain watch the store; the others listen to one of
    them, and watch it themselves while that one is silent or has lost it.
    """

    def __init__(
        self,
        store: StoreClient,
        mirror: StoreMirror,
        readers: ReaderChoice,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.readers = readers
        self.metrics = metrics
        self.boxes = StateClient()
        self.reachable = True
        self.reads_until = float("-inf")
        self.must_list = True
        self.task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start reading, anew if it was under way."""
        if self.task is not None:
            self.task.kill()
        self.task = eventlet.spawn(self.run_forever)

    def note_reachable(self, reachable: bool) -> None:
        """Take in whether another call of this box to the store was answered.

        A watch whose answer was lost stays silent; once the store answers again,
        it is asked anew.
        """
        self.reachable = reachable
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
                self.note_failed(str(error))
                eventlet.sleep(RETRY_SECONDS)

    def note_failed(self, why: str) -> None:
        """Take in that the store does not answer; a reader may know more."""
        self.mirror.note_lost(why)
        self.reads_until = float("-inf")

    def read_once(self) -> None:
        """Read all, if need be, or wait once for changes."""
        if self.must_list:
            listing = self.store.list(EVERYTHING)
            self.mirror.note_back()
            self.mirror.take_listing(listing)
            self.must_list = False
            return
        own_seconds = self.reads_until - time.monotonic()
        reader = self.readers.choose() if own_seconds <= 0 else None
        if reader is not None:
            self.listen_once(reader)
        elif own_seconds > 0:
            self.watch_once(own_seconds)
        else:
            self.watch_once(WATCH_WAIT_SECONDS)

    def listen_once(self, reader: BoxEntry) -> None:
        """Wait once for what a reader tells; read the store if it tells nothing."""
        address = Address.parse(reader.peers)
        try:
            state = self.boxes.ask(address, self.mirror.revision, LISTEN_SECONDS)
        except StateNotToldError as error:
            self.read_instead_of(reader, str(error))
            return
        self.metrics.count("state.heard")
        has_store = state.steady_seconds > 0
        if has_store and self.reachable:
            self.mirror.note_back()
        self.mirror.take_state(state)
        if not has_store:
            self.read_instead_of(reader, "it lost the store")

    def read_instead_of(self, reader: BoxEntry, why: str) -> None:
        """Read the store itself for a while."""
        self.metrics.count("state.readers_lost")
        log.info("Reader lost.", extra={"box": reader.name, "why": why})
        self.reads_until = time.monotonic() + OWN_READING_SECONDS

    def watch_once(self, seconds: float) -> None:
        """Wait once for changes in the store."""
        after = self.mirror.revision
        changes, revision = self.store.wait_changes(EVERYTHING, after, seconds)
        self.mirror.note_back()
        self.mirror.take_changes(changes, revision)
        if changes:
            eventlet.sleep(GATHER_SECONDS)
