"""Bounds the staleness of the configuration and the entries that this box applies."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event

from cedarchute.decisions.key_trust import cap_age
from cedarchute.decisions.knowledge_age import ReaderRank, RefreshStep
from cedarchute.fleet.backoff import Backoff
from cedarchute.fleet.state_messages import MirroredEntry
from cedarchute.fleet.store_reader import ALL_KEYS
from cedarchute.platform.store_client import HistoryGoneError, StoreUnavailableError

if TYPE_CHECKING:
    from cedarchute.decisions.knowledge_age import StalenessLimits
    from cedarchute.fleet.reader_choice import ReaderChoice
    from cedarchute.fleet.state_puller import StatePuller
    from cedarchute.fleet.store_mirror import StoreMirror
    from cedarchute.fleet.store_reader import StoreReader
    from cedarchute.metrics import Metrics
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.platform.store_entry import StoreEntry, StoreReading

log = logging.getLogger("cedarchute.fleet")

# Upper bounds of the retry delay. Each attempt is billed, and a successful lease
# renewal ends the delay at once, so it may be long. The first reader retries more often
# because its whole failure domain depends on it.
MAX_RETRY_SECONDS: Final = 6.0
READER_RETRY_SECONDS: Final = 0.4


class ConfigurationProver:
    """Renews the proof that what this box knows is the newest before it gets too old.

    The configuration is proven by a query alone, all entries only once the changes up
    to the revision of that query are applied.

    Watches and readers deliver changes at once, but a broken one cannot be told from an
    idle one. The first reader of a failure domain therefore queries the store
    periodically and passes the proof on with its age. A box with an old proof queries
    the second reader, then a box of another domain, then the store.
    """

    def __init__(
        self,
        store: StoreClient,
        mirror: StoreMirror,
        readers: ReaderChoice,
        reader: StoreReader,
        puller: StatePuller,
        limits: StalenessLimits,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.readers = readers
        self.reader = reader
        self.puller = puller
        self.limits = limits
        self.metrics = metrics
        self.started_at = time.monotonic()
        self.peers_asked = 0
        self.backoff = Backoff(MAX_RETRY_SECONDS)
        self.retry_at = float("-inf")
        self.query_done: Event | None = None

    @property
    def age_seconds(self) -> float:
        """Seconds since the configuration was last proven to be the newest."""
        return self.mirror.proof.age_seconds

    @property
    def complete_age_seconds(self) -> float:
        """Seconds since the known entries were confirmed to be all in the store."""
        return self.mirror.completeness.age_seconds

    @property
    def is_store_lost(self) -> bool:
        """Whether the last call to the store got no answer."""
        return self.mirror.unavailable_since is not None

    @property
    def unproven_seconds(self) -> float:
        """Age of what is least proven; before the first proof, time since the start."""
        age = max(self.age_seconds, self.complete_age_seconds)
        return min(age, time.monotonic() - self.started_at)

    def run_forever(self) -> None:
        """Renew the proof whenever it is due, until the process ends."""
        while True:
            eventlet.sleep(self.find_next_check_seconds())
            self.metrics.time("proof.age", cap_age(self.age_seconds))
            self.refresh_if_due()

    def find_next_check_seconds(self) -> float:
        """Return the time until the next check."""
        first = self.limits.find_refresh_age(self.readers.find_rank())
        return max(self.limits.pause_seconds, first - self.unproven_seconds)

    def refresh_if_due(self) -> None:
        """Run the refresh step that the age of the proof calls for, if any."""
        rank = self.readers.find_rank()
        step = self.limits.choose_refresh(rank, self.unproven_seconds)
        if step is RefreshStep.NOTHING:
            self.peers_asked = 0
        elif step is RefreshStep.ASK_A_BOX:
            self.ask_a_box()
        else:
            self.query_store_if_idle()

    def ask_a_box(self) -> None:
        """Query the next box that may have a newer proof."""
        address = self.puller.choose_refresh_peer(self.peers_asked)
        self.peers_asked += 1
        if address is None:
            return
        self.metrics.count("proofs.boxes_asked")
        log.info(
            "Configuration proof is old; querying another box.",
            extra={"box": str(address), "age": cap_age(self.age_seconds)},
        )
        self.puller.pull_from(address, self.limits.answer_seconds)

    def find_retry_seconds(self) -> float:
        """Return the delay before the next query after a failure."""
        seconds = self.backoff.next_seconds()
        if self.readers.find_rank() is ReaderRank.FIRST:
            return min(seconds, READER_RETRY_SECONDS)
        return seconds

    @property
    def is_store_unavailable(self) -> bool:
        """Whether other boxes respond, so that the fault is the store's."""
        return self.mirror.has_recent_peer_state

    def note_reachable(self) -> None:
        """Allow the next query at once: another store call of this box succeeded."""
        self.retry_at = float("-inf")

    def refresh(self, seconds: float) -> None:
        """Query the store for a call that needs a proof; wait `seconds` at most.

        Returns at once during the retry delay after a failure.
        """
        if self.query_done is None:
            if time.monotonic() < self.retry_at:
                return
            eventlet.spawn_n(self.query_store_if_idle)
            eventlet.sleep(0)
        query_done = self.query_done
        if query_done is not None:
            with eventlet.Timeout(seconds, False):
                query_done.wait()

    def query_store_if_idle(self) -> None:
        """Query the store, unless a query is running or the retry delay applies."""
        if self.query_done is not None or time.monotonic() < self.retry_at:
            return
        self.query_done = Event()
        try:
            self.query_store()
        finally:
            query_done, self.query_done = self.query_done, None
            query_done.send(None)

    def query_store(self) -> None:
        """Read the configuration from the store and apply it at once."""
        asked_at = time.monotonic()
        self.metrics.count("proofs.asked")
        try:
            reading = self.store.read(self.mirror.configuration_key)
            # Before any change is applied: an entry that lapsed in an outage does not
            # mean that its owner has left.
            self.reader.note_reachable(True)
            self.reader.record_success()
            self.take_entry(reading.entry)
            self.catch_up(reading, asked_at)
        except HistoryGoneError as error:
            self.reader.restart_with_listing(str(error))
        except StoreUnavailableError as error:
            self.record_failure(str(error))
            return
        self.backoff.reset()

    def record_failure(self, why: str) -> None:
        """Record a failed query and start the retry delay."""
        self.metrics.count("proofs.failed")
        self.retry_at = time.monotonic() + self.find_retry_seconds()
        log.info(
            "Configuration freshness check failed.",
            extra={"why": why, "age": cap_age(self.age_seconds)},
        )
        self.reader.note_reachable(False)

    def take_entry(self, entry: StoreEntry | None) -> None:
        """Apply the configuration that was read from the store."""
        if entry is not None:
            found = MirroredEntry(entry.key, entry.value, entry.version)
            self.mirror.take_entry(found)

    def note_proof(self, entry: StoreEntry | None, asked_at: float) -> None:
        """Record the proof and notify the boxes that poll this one."""
        age_before = self.age_seconds
        self.mirror.note_proof(entry.version if entry else 0, asked_at)
        self.mirror.notify_waiters()
        if age_before > self.limits.store_seconds:
            log.info(
                "Configuration freshness confirmed again.",
                extra={"age_before": cap_age(age_before)},
            )

    def catch_up(self, reading: StoreReading, asked_at: float) -> None:
        """Fetch the changes that no watch has delivered, then record the proof.

        With the proof first, polling boxes would return without these changes and
        receive them too late. The proof covers the configuration only, so it is
        recorded even when the fetch fails.

        Raises
        ------
        StoreUnavailableError
            When the fetch fails; `HistoryGoneError` when the changes were compacted.
        """
        try:
            self.fetch_changes(reading.revision, asked_at)
        finally:
            self.note_proof(reading.entry, asked_at)

    def fetch_changes(self, revision: int, asked_at: float) -> None:
        """Apply the changes up to `revision`, unless a full listing is due."""
        after = self.mirror.revision
        if after >= revision:
            self.mirror.note_complete(revision, asked_at)
        if self.reader.needs_listing or after >= revision:
            return
        changes, new_revision = self.store.wait_changes(ALL_KEYS, after, 0.0)
        self.metrics.count("proofs.caught_up")
        self.mirror.apply_changes(changes, new_revision, asked_at)
        self.reader.restart_silent_watch(asked_at)
