"""Keeps what this box knows of the store from growing old without a word."""

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
from cedarchute.fleet.store_reader import EVERYTHING
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

# An outage answers nobody, and each try costs money. Boxes with an answered renewal ask
# again at once, so the others may wait long; readers try more often, since their whole
# failure domain waits for them.
LONGEST_RETRY_SECONDS: Final = 6.0
READER_RETRY_SECONDS: Final = 0.4


class ConfigurationProver:
    """Bounds the age of what this box knows, by whichever way it hears of changes.

    A watch and a reader tell of changes at once, but neither tells that it fell silent.
    So one box of a failure domain asks the store every so often whether the
    configuration is the newest, and tells that on with its age; any box whose proof
    grows old asks the second reader, a box elsewhere and then the store by itself.
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
        self.boxes_asked = 0
        self.backoff = Backoff(LONGEST_RETRY_SECONDS)
        self.may_ask_at = float("-inf")
        self.asking: Event | None = None

    @property
    def age_seconds(self) -> float:
        """How long ago this box's configuration was certainly the newest."""
        return self.mirror.proof.age_seconds

    @property
    def unproven_seconds(self) -> float:
        """The age of the last proof; before the first, the time since the start."""
        return min(self.age_seconds, time.monotonic() - self.started_at)

    def run_forever(self) -> None:
        """Keep a proof at hand for the life of the process."""
        while True:
            eventlet.sleep(self.find_wait())
            self.metrics.time("proof.age", cap_age(self.age_seconds))
            self.keep_once()

    def find_wait(self) -> float:
        """Return how long nothing is due."""
        first = self.limits.find_refresh_age(self.readers.find_rank())
        return max(self.limits.pause_seconds, first - self.unproven_seconds)

    def keep_once(self) -> None:
        """Do what the age of this box's knowledge asks for."""
        rank = self.readers.find_rank()
        step = self.limits.choose_refresh(rank, self.unproven_seconds)
        if step is RefreshStep.NOTHING:
            self.boxes_asked = 0
        elif step is RefreshStep.ASK_A_BOX:
            self.ask_a_box()
        else:
            self.ask_unless_asking()

    def ask_a_box(self) -> None:
        """Ask the next box that may have heard from the store since."""
        address = self.puller.choose_informed(self.boxes_asked)
        self.boxes_asked += 1
        if address is None:
            return
        self.metrics.count("proofs.boxes_asked")
        log.info(
            "Knowledge is old, asking a box.",
            extra={"box": str(address), "age": cap_age(self.age_seconds)},
        )
        self.puller.pull_from(address, self.limits.answer_seconds)

    def find_pause(self) -> float:
        """Return how long not to ask after a failure."""
        seconds = self.backoff.next_seconds()
        if self.readers.find_rank() is ReaderRank.FIRST:
            return min(seconds, READER_RETRY_SECONDS)
        return seconds

    @property
    def is_store_unavailable(self) -> bool:
        """Whether other boxes answer, and know nothing newer either."""
        return self.mirror.hears_boxes

    def note_reachable(self) -> None:
        """Take in that the store answered another call of this box."""
        self.may_ask_at = float("-inf")

    def refresh(self, seconds: float) -> None:
        """Ask now, for a call that needs a proof; return after `seconds` at most.

        Returns at once while a failed try is not long ago.
        """
        if self.asking is None:
            if time.monotonic() < self.may_ask_at:
                return
            eventlet.spawn_n(self.ask_unless_asking)
            eventlet.sleep(0)
        asking = self.asking
        if asking is not None:
            with eventlet.Timeout(seconds, False):
                asking.wait()

    def ask_unless_asking(self) -> None:
        """Ask the store once, unless that is under way or failed just now."""
        if self.asking is not None or time.monotonic() < self.may_ask_at:
            return
        self.asking = Event()
        try:
            self.ask()
        finally:
            asking, self.asking = self.asking, None
            asking.send(None)

    def ask(self) -> None:
        """Read the configuration; what it says is in force at once."""
        asked_at = time.monotonic()
        self.metrics.count("proofs.asked")
        try:
            reading = self.store.read(self.mirror.configuration_key)
            # Before anything is taken in: an entry that lapsed in an outage does not
            # mean that its owner has left.
            self.reader.note_reachable(True)
            self.reader.note_answered()
            self.take_entry(reading.entry)
            self.catch_up(reading, asked_at)
        except HistoryGoneError as error:
            self.reader.read_anew(str(error))
        except StoreUnavailableError as error:
            self.note_failed(str(error))
            return
        self.backoff.reset()

    def note_failed(self, why: str) -> None:
        """Take in that the store did not answer."""
        self.metrics.count("proofs.failed")
        self.may_ask_at = time.monotonic() + self.find_pause()
        log.info(
            "Configuration not proven.",
            extra={"why": why, "age": cap_age(self.age_seconds)},
        )
        self.reader.note_reachable(False)

    def take_entry(self, entry: StoreEntry | None) -> None:
        """Put the configuration that the store named in force."""
        if entry is not None:
            found = MirroredEntry(entry.key, entry.value, entry.version)
            self.mirror.take_entry(found)

    def note_proof(self, entry: StoreEntry | None, asked_at: float) -> None:
        """Take in the proof, and tell listeners."""
        age_before = self.age_seconds
        self.mirror.note_proof(entry.version if entry else 0, asked_at)
        self.mirror.announce()
        if age_before > self.limits.store_seconds:
            log.info(
                "Configuration proven again.",
                extra={"age_before": cap_age(age_before)},
            )

    def catch_up(self, reading: StoreReading, asked_at: float) -> None:
        """Fetch what the store knows and no watch has told; then it is proven.

        A proof told before that would leave listeners without the rest until they ask
        again, later than a change has to be known. When the rest does not come, the
        proof of the configuration holds all the same.

        Raises
        ------
        StoreUnavailableError
            When the rest does not come; `HistoryGoneError` when it is no longer there.
        """
        try:
            self.fetch_changes(reading.revision, asked_at)
        finally:
            self.note_proof(reading.entry, asked_at)

    def fetch_changes(self, revision: int, asked_at: float) -> None:
        """Take in the changes up to `revision`, unless all is to be read anyway."""
        after = self.mirror.revision
        if self.reader.must_list or after >= revision:
            return
        changes, known = self.store.wait_changes(EVERYTHING, after, 0.0)
        self.metrics.count("proofs.caught_up")
        self.mirror.take_changes(changes, known)
        self.reader.note_overdue(asked_at)
