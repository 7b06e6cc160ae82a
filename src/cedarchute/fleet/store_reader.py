"""Keeps the store mirror up to date: one full listing, then incremental changes."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.address import Address
from cedarchute.fleet.backoff import Backoff
from cedarchute.fleet.reader_choice import READERS_PER_DOMAIN
from cedarchute.fleet.state_client import StateClient, StateUnavailableError
from cedarchute.platform.store_client import (
    WATCH_WAIT_SECONDS,
    HistoryGoneError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from cedarchute.fleet.box_entry import BoxEntry
    from cedarchute.fleet.news_exchange import NewsExchange
    from cedarchute.fleet.reader_choice import ReaderChoice
    from cedarchute.fleet.state_messages import State
    from cedarchute.fleet.store_mirror import StoreMirror
    from cedarchute.metrics import Metrics
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.supervisor import Supervisor

log = logging.getLogger("cedarchute.fleet")

# Upper bound of the retry delay. Lease renewals run more often, and a successful one
# restarts the reader; until then, other boxes supply changes.
MAX_RETRY_SECONDS: Final = 3.0
# Delay after a change, so that changes in quick succession arrive in one response:
# each store call is billed. Well below the time limit for applying a configuration.
CHANGE_BATCH_SECONDS: Final = 1.0
ALL_KEYS: Final = ""
# Long-poll timeout at a reader. Longer than the interval between the reader's freshness
# proofs, so that most polls return with one.
LISTEN_WAIT_SECONDS: Final = 1.2
# Timeout of the first watch after a failure or after the readers were lost: such a
# watch may hang until its end. The next one uses the full timeout.
SHORT_WATCH_SECONDS: Final = 0.8


class StoreReader:
    """Lists the whole store at the start, then follows its changes.

    Lists it again when the change history was compacted. The first reader of each
    failure domain watches the store; the other boxes poll the readers in rotation, and
    watch the store themselves while no reader responds or has a connection to it.
    """

    def __init__(
        self,
        store: StoreClient,
        mirror: StoreMirror,
        readers: ReaderChoice,
        supervisor: Supervisor,
        metrics: Metrics,
        news: NewsExchange | None = None,
    ) -> None:
        self.news = news
        self.store = store
        self.mirror = mirror
        self.readers = readers
        self.supervisor = supervisor
        self.metrics = metrics
        self.state_client = StateClient()
        self.reachable = True
        self.poll_number = 0
        self.consecutive_reader_failures = 0
        self.watch_seconds = WATCH_WAIT_SECONDS
        self.needs_listing = True
        self.is_listing = False
        self.watch_started_at: float | None = None
        self.backoff = Backoff(MAX_RETRY_SECONDS)
        self.task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the reader task; restart it if it is running."""
        if self.task is not None:
            self.task.kill()
        self.task = self.supervisor.start("store", self.run_forever)

    def note_reachable(self, reachable: bool) -> None:
        """Record whether another store call of this box succeeded.

        A watch whose response was lost hangs until its timeout, so the reader task is
        restarted once the store responds again. A listing that was sent since the last
        failure is left to finish, as it would only be sent once more.
        """
        self.reachable = reachable
        if not reachable:
            self.is_listing = False
            self.record_failure("a renewal was not answered")
        elif self.mirror.unavailable_since is not None and not self.is_listing:
            self.start()

    def run_forever(self) -> None:
        """Follow the store for the life of the process."""
        while True:
            try:
                self.read_once()
            except HistoryGoneError as error:
                self.require_listing(str(error))
            except StoreUnavailableError as error:
                self.record_failure(str(error))
                eventlet.sleep(self.backoff.next_seconds())

    def record_failure(self, why: str) -> None:
        """Record a failed store call; the next watch is a short one."""
        self.mirror.record_outage(why)
        self.watch_seconds = SHORT_WATCH_SECONDS

    def record_success(self) -> None:
        """Record that the store responded to this box or to its reader."""
        self.backoff.reset()
        self.mirror.record_recovery()

    def read_once(self) -> None:
        """List the store if needed, otherwise wait once for changes."""
        if self.needs_listing:
            self.read_listing()
            return
        self.poll_number += 1
        reader = self.readers.choose(self.poll_number)
        if reader is None:
            self.watch_once(self.watch_seconds)
            self.watch_seconds = WATCH_WAIT_SECONDS
            return
        self.poll_reader(reader)
        if self.consecutive_reader_failures >= READERS_PER_DOMAIN:
            self.watch_once(SHORT_WATCH_SECONDS)

    def restart_silent_watch(self, known_at: float) -> None:
        """Restart a watch that missed changes which the store reported at `known_at`.

        A watch that was open at that time has lost its response and would hang until
        its timeout.
        """
        if self.watch_started_at is not None and self.watch_started_at < known_at:
            self.metrics.count("store.watches_silent")
            log.info("Store watch missed changes; restarting it.")
            self.start()

    def require_listing(self, why: str) -> None:
        """Request a full listing: changes this box has not seen were compacted."""
        self.metrics.count("store.history_gone")
        log.warning(
            "Change history was compacted; listing the whole store.", extra={"why": why}
        )
        self.needs_listing = True

    def restart_with_listing(self, why: str) -> None:
        """Restart the reader task with a full listing."""
        self.require_listing(why)
        self.start()

    def read_listing(self) -> None:
        """List the store; repeat if other boxes have sent newer changes meanwhile.

        The first listing may be stale, which costs less: the first watch or a reader
        supplies later changes. It is not repeated if other boxes have sent the whole
        state meanwhile.
        """
        self.is_listing = True
        may_be_old = self.mirror.revision == 0
        asked_at = None if may_be_old else time.monotonic()
        try:
            listing = self.store.list(ALL_KEYS, may_be_old=may_be_old)
        finally:
            self.is_listing = False
        self.record_success()
        self.needs_listing = False
        if self.mirror.apply_listing(listing, asked_at):
            return
        self.needs_listing = self.mirror.told_revision < listing.revision
        self.metrics.count("store.listings_overtaken")
        log.info(
            "Listing is older than what other boxes have sent.",
            extra={
                "listed": listing.revision,
                "known": self.mirror.revision,
                "told_whole": self.mirror.told_revision,
                "is_repeated": self.needs_listing,
            },
        )
        if self.needs_listing:
            eventlet.sleep(CHANGE_BATCH_SECONDS)

    def poll_reader(self, reader: BoxEntry) -> None:
        """Apply the state of a reader; long-poll unless the last reader failed."""
        wait_seconds = 0.0 if self.consecutive_reader_failures else LISTEN_WAIT_SECONDS
        asked_at = time.monotonic()
        address = Address.parse(reader.peers)
        try:
            state = self.ask_with_news(address, wait_seconds)
        except StateUnavailableError as error:
            self.record_reader_failure(reader, str(error))
            return
        self.metrics.count("state.heard")
        if state.steady_seconds <= 0:
            self.mirror.take_state(state, asked_at)
            self.record_reader_failure(reader, "it lost the store")
            return
        if self.reachable:
            self.record_success()
        self.mirror.take_state(state, asked_at)
        self.consecutive_reader_failures = 0

    def ask_with_news(self, address: Address, wait_seconds: float) -> State:
        """Ask a reader for the state of the store, and exchange news with it."""
        news = self.news.make_own() if self.news else None
        revision = self.mirror.revision
        if news is None:
            return self.state_client.ask(address, revision, wait_seconds)
        state = self.state_client.ask(address, revision, wait_seconds, news=news)
        self.news.take_domain(state.news)
        return state

    def tell_news(self) -> None:
        """Tell the reader at once what has changed at this box."""
        reader = self.readers.choose(0)
        if reader is None:
            self.mirror.notify_waiters()
            return
        try:
            self.ask_with_news(Address.parse(reader.peers), 0.0)
        except StateUnavailableError as error:
            log.info("News not told.", extra={"box": reader.name, "why": str(error)})

    def record_reader_failure(self, reader: BoxEntry, why: str) -> None:
        """Record that a reader failed or has no connection to the store."""
        self.consecutive_reader_failures += 1
        self.metrics.count("state.readers_lost")
        log.info(
            "Store reader unavailable.",
            extra={
                "box": reader.name,
                "why": why,
                "in_a_row": self.consecutive_reader_failures,
            },
        )

    def watch_once(self, seconds: float) -> None:
        """Wait once for changes in the store."""
        after = self.mirror.revision
        asked_at = self.watch_started_at = time.monotonic()
        try:
            changes, revision = self.store.wait_changes(ALL_KEYS, after, seconds)
        finally:
            self.watch_started_at = None
        self.record_success()
        self.mirror.apply_changes(changes, revision, asked_at)
        if changes:
            eventlet.sleep(CHANGE_BATCH_SECONDS)
