"""Asks the store whether the configuration of this box is the newest."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event

from cedarchute.decisions.key_trust import tell_age
from cedarchute.fleet.backoff import Backoff
from cedarchute.fleet.state_messages import MirroredEntry
from cedarchute.platform.store_client import StoreUnavailableError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cedarchute.fleet.reader_choice import ReaderChoice
    from cedarchute.fleet.store_mirror import StoreMirror
    from cedarchute.metrics import Metrics
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.platform.store_entry import StoreEntry

log = logging.getLogger("cedarchute.fleet")

# How often this task looks; an eighth of the age at which listeners ask themselves.
TICK_SECONDS: Final = 0.25
# A reader asks this often for its failure domain. Each call costs money; but a proof is
# good for some 5 s, and the older it is when the store goes away, the sooner calls
# stop: in an outage of 6 s on a replayed day the first stopped after 4.0 s.
READER_SECONDS: Final = 1.0
# A listener hears of its reader's proof at once. It asks the store itself only once the
# proof is older than a silent reader explains, and listeners do not all ask at once.
LISTENER_SECONDS: Final = 2.2
LISTENER_SPREAD_SECONDS: Final = 0.8
# An outage answers nobody, and each try costs money. Readers try more often: calls stop
# until one of them is answered.
LONGEST_RETRY_SECONDS: Final = 1.5
READER_RETRY_SECONDS: Final = 0.4


class ConfigurationProver:
    """One box of a failure domain proves for all; each of them can for itself.

    Calls to the store grow with the failure domains, not with the boxes: with three
    domains of some 20 entries the three readers asked 48 times each in 50 s, counted on
    a calm day, and no other entry more than 3 times.

    Parameters
    ----------
    needs_proof : callable
        Whether calls need keys at all; nothing is asked otherwise.
    note_reachable : callable
        Told whether the store answered.
    """

    def __init__(
        self,
        store: StoreClient,
        mirror: StoreMirror,
        readers: ReaderChoice,
        needs_proof: Callable[[], bool],
        note_reachable: Callable[[bool], None],
        chance: random.Random,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.readers = readers
        self.needs_proof = needs_proof
        self.note_reachable = note_reachable
        self.metrics = metrics
        self.patience = LISTENER_SECONDS + chance.uniform(0, LISTENER_SPREAD_SECONDS)
        self.backoff = Backoff(LONGEST_RETRY_SECONDS)
        self.may_ask_at = float("-inf")
        self.asking: Event | None = None

    @property
    def age_seconds(self) -> float:
        """How long ago this box's configuration was certainly the newest."""
        return self.mirror.proof.age_seconds

    def run_forever(self) -> None:
        """Keep a proof at hand for the life of the process."""
        while True:
            eventlet.sleep(TICK_SECONDS)
            if not self.needs_proof():
                continue
            self.metrics.time("proof.age", tell_age(self.age_seconds))
            if self.age_seconds > self.find_patience():
                self.ask_unless_asking()

    def find_patience(self) -> float:
        """Return how old the proof may become before this box asks the store."""
        if self.readers.choose(0) is None:
            return READER_SECONDS
        return self.patience

    def find_pause(self) -> float:
        """Return how long not to ask after a failure."""
        seconds = self.backoff.next_seconds()
        is_reader = self.readers.choose(0) is None
        return min(seconds, READER_RETRY_SECONDS) if is_reader else seconds

    @property
    def is_store_away(self) -> bool:
        """Whether other boxes answer, and know nothing newer either."""
        return self.mirror.hears_boxes

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
            entry = self.store.get(self.mirror.configuration_key)
        except StoreUnavailableError as error:
            self.metrics.count("proofs.failed")
            self.may_ask_at = time.monotonic() + self.find_pause()
            log.info(
                "Configuration not proven.",
                extra={"why": str(error), "age": tell_age(self.age_seconds)},
            )
            self.note_reachable(False)
            return
        self.backoff.reset()
        self.take_answer(entry, asked_at)
        self.note_reachable(True)

    def take_answer(self, entry: StoreEntry | None, asked_at: float) -> None:
        """Put what the store said in force, and tell listeners."""
        age_before = self.age_seconds
        if entry is not None:
            found = MirroredEntry(entry.key, entry.value, entry.version)
            self.mirror.take_entry(found)
        self.mirror.note_proof(entry.version if entry else 0, asked_at)
        self.mirror.announce()
        if age_before > LISTENER_SECONDS + LISTENER_SPREAD_SECONDS:
            log.info(
                "Configuration proven again.",
                extra={"age_before": tell_age(age_before)},
            )
