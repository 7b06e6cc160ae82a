"""Keeps the mirror at what the store says: one listing, then what changes."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.address import Address
from cedarchute.fleet.backoff import Backoff
from cedarchute.fleet.reader_choice import READERS_PER_DOMAIN
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
    from cedarchute.supervisor import Supervisor

log = logging.getLogger("cedarchute.fleet")

# Renewals ask the store more often than this, and reading begins anew once one is
# answered; meanwhile other boxes tell what changes.
LONGEST_RETRY_SECONDS: Final = 3.0
# After changes, what follows them closely comes with the next answer: each costs
# money. A quarter of the time in which a configuration has to be in force.
GATHER_SECONDS: Final = 1.0
EVERYTHING: Final = ""
# A box that listens asks one reader after another and waits this long at each: longer
# than the reader's proofs are apart, so that most questions are answered by one.
LISTEN_SECONDS: Final = 1.2
# A watch begun just after one was cut may say nothing until its end, and so may one of
# a box that lost its readers: it is a short one, and the next a long one.
SHORT_WATCH_SECONDS: Final = 0.8


class StoreReader:
    """Reads all at first and when history is gone, and follows what changes then.

    A few boxes of each large failure domain watch the store; the others listen to
    them in turn, and watch it themselves while all are silent or have lost it.
    """

    def __init__(
        self,
        store: StoreClient,
        mirror: StoreMirror,
        readers: ReaderChoice,
        supervisor: Supervisor,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.readers = readers
        self.supervisor = supervisor
        self.metrics = metrics
        self.boxes = StateClient()
        self.reachable = True
        self.turn = 0
        self.lost_in_a_row = 0
        self.watch_seconds = WATCH_WAIT_SECONDS
        self.must_list = True
        self.watching_since: float | None = None
        self.backoff = Backoff(LONGEST_RETRY_SECONDS)
        self.task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start reading, anew if it was under way."""
        if self.task is not None:
            self.task.kill()
        self.task = self.supervisor.start("store", self.run_forever)

    def note_reachable(self, reachable: bool) -> None:
        """Take in whether another call of this box to the store was answered.

        A watch whose answer was lost stays silent; once the store answers again,
        it is asked anew.
        """
        self.reachable = reachable
        if not reachable:
            self.note_failed("a renewal was not answered")
        elif self.mirror.lost_since is not None:
            self.start()

    def run_forever(self) -> None:
        """Follow the store for the life of the process."""
        while True:
            try:
                self.read_once()
            except HistoryGoneError as error:
                self.note_history_gone(str(error))
            except StoreUnavailableError as error:
                self.note_failed(str(error))
                eventlet.sleep(self.backoff.next_seconds())

    def note_failed(self, why: str) -> None:
        """Take in that the store does not answer; a reader may know more."""
        self.mirror.note_lost(why)
        self.watch_seconds = SHORT_WATCH_SECONDS

    def note_answered(self) -> None:
        """Take in that the store answers, this box or its reader."""
        self.backoff.reset()
        self.mirror.note_back()

    def read_once(self) -> None:
        """Read all, if need be, or wait once for changes."""
        if self.must_list:
            self.list_once()
            return
        self.turn += 1
        reader = self.readers.choose(self.turn)
        if reader is None:
            self.watch_once(self.watch_seconds)
            self.watch_seconds = WATCH_WAIT_SECONDS
            return
        self.listen_once(reader)
        if self.lost_in_a_row >= READERS_PER_DOMAIN:
            self.watch_once(SHORT_WATCH_SECONDS)

    def note_overdue(self, known_at: float) -> None:
        """Take in that the store told of changes otherwise at `known_at`.

        A watch that was open then has lost its answer, and may say nothing for as long
        as it was asked to wait.
        """
        if self.watching_since is not None and self.watching_since < known_at:
            self.metrics.count("store.watches_silent")
            log.info("Watch is silent, watching anew.")
            self.start()

    def note_history_gone(self, why: str) -> None:
        """Take in that the store has forgotten changes that this box does not know."""
        self.metrics.count("store.history_gone")
        log.warning("Changes are gone, reading all.", extra={"why": why})
        self.must_list = True

    def read_anew(self, why: str) -> None:
        """Read all at once, whatever is under way."""
        self.note_history_gone(why)
        self.start()

    def list_once(self) -> None:
        """Read all; once more if another box has told of something newer meanwhile.

        The first listing may be old, at a tenth of the price: what changed since comes
        with the first watch, or from a reader.
        """
        listing = self.store.list(EVERYTHING, may_be_old=self.mirror.revision == 0)
        self.note_answered()
        self.must_list = not self.mirror.take_listing(listing)
        if self.must_list:
            eventlet.sleep(GATHER_SECONDS)

    def listen_once(self, reader: BoxEntry) -> None:
        """Take in what a reader tells; wait for it unless readers were lost."""
        wait_seconds = 0.0 if self.lost_in_a_row else LISTEN_SECONDS
        asked_at = time.monotonic()
        address = Address.parse(reader.peers)
        try:
            state = self.boxes.ask(address, self.mirror.revision, wait_seconds)
        except StateNotToldError as error:
            self.note_reader_lost(reader, str(error))
            return
        self.metrics.count("state.heard")
        if state.steady_seconds <= 0:
            self.mirror.take_state(state, asked_at)
            self.note_reader_lost(reader, "it lost the store")
            return
        if self.reachable:
            self.note_answered()
        self.mirror.take_state(state, asked_at)
        self.lost_in_a_row = 0

    def note_reader_lost(self, reader: BoxEntry, why: str) -> None:
        """Take in that a reader told nothing of the store."""
        self.lost_in_a_row += 1
        self.metrics.count("state.readers_lost")
        log.info(
            "Reader lost.",
            extra={"box": reader.name, "why": why, "in_a_row": self.lost_in_a_row},
        )

    def watch_once(self, seconds: float) -> None:
        """Wait once for changes in the store."""
        after = self.mirror.revision
        self.watching_since = time.monotonic()
        try:
            changes, revision = self.store.wait_changes(EVERYTHING, after, seconds)
        finally:
            self.watching_since = None
        self.note_answered()
        self.mirror.take_changes(changes, revision)
        if changes:
            eventlet.sleep(GATHER_SECONDS)
