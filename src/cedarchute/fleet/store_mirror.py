"""What this box knows of the store, from the store itself or from another box."""

from __future__ import annotations

import logging
import time
from collections import deque
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event
from msgspec.structs import replace

from cedarchute.fleet.configuration_proof import ConfigurationProof
from cedarchute.fleet.state_messages import MirroredEntry, Removal, State

if TYPE_CHECKING:
    from cedarchute.fleet.store_follower import StoreFollower
    from cedarchute.platform.store_entry import StoreChange, StoreListing

log = logging.getLogger("cedarchute.fleet")

# Removals remembered for boxes that ask what changed; one that asks for more is told
# every key that is left.
KEPT_REMOVALS: Final = 512
# A box whose store has answered for this long has seen no outage that entries lapse
# in and come back from.
STEADY_SECONDS: Final = 3.0
# What another box said of that holds for this long: some periods of asking.
HEARSAY_SECONDS: Final = 1.5


class StoreMirror:
    """Hands every entry to the follower of its prefix; never goes back.

    While the store is away everything stays as it was: its silence says nothing
    about anyone else.

    Attributes
    ----------
    configuration_key : str
        Where the operators' configuration stands in the store.
    proof : ConfigurationProof
        When that was certainly the newest.
    """

    def __init__(
        self, followers: dict[str, StoreFollower], configuration_key: str = ""
    ) -> None:
        self.followers = followers
        self.configuration_key = configuration_key
        self.proof = ConfigurationProof()
        self.entries: dict[str, MirroredEntry] = {}
        self.removals: deque[Removal] = deque(maxlen=KEPT_REMOVALS)
        self.revision = 0
        self.complete_after = 0
        self.lost_since: float | None = time.monotonic()
        self.back_at = time.monotonic()
        self.others_steady_at = float("-inf")
        self.heard_at = float("-inf")
        self.news = Event()

    @property
    def steady_seconds(self) -> float:
        """For how long the store has answered, 0 when it does not."""
        return 0.0 if self.lost_since else time.monotonic() - self.back_at

    @property
    def lost_seconds(self) -> float:
        """For how long the store has not answered, 0 when it does."""
        return 0.0 if self.lost_since is None else time.monotonic() - self.lost_since

    def take_listing(self, listing: StoreListing) -> bool:
        """Take in everything, as the store listed it; return whether it was of use.

        One that is older than what another box has told meanwhile may hold entries
        that are gone, and nothing would tell of that again.
        """
        if listing.revision < self.revision:
            return False
        entries = [MirroredEntry(e.key, e.value, e.version) for e in listing.entries]
        self.replace_all(entries, listing.revision)
        return True

    def replace_all(self, entries: list[MirroredEntry], revision: int) -> None:
        """Take in every entry, and what is no longer there."""
        for entry in entries:
            self.take_entry(entry)
        self.keep_only({entry.key for entry in entries}, revision)
        self.removals.clear()
        self.complete_after = revision
        self.revision = max(self.revision, revision)
        self.announce()

    def keep_only(self, keys: set[str], revision: int) -> None:
        """Hand over that every other key was gone at a revision."""
        for key in [known for known in self.entries if known not in keys]:
            self.take_removal(Removal(key, revision))

    def take_changes(self, changes: list[StoreChange], revision: int) -> None:
        """Take in changes, as the store told them."""
        for change in changes:
            if change.entry is None:
                self.take_removal(Removal(change.key, change.revision))
            else:
                entry = change.entry
                self.take_entry(MirroredEntry(entry.key, entry.value, entry.version))
        self.revision = max(self.revision, revision)
        self.announce()

    @property
    def configuration_revision(self) -> int:
        """The revision of the configuration that is known here, 0 without one."""
        known = self.entries.get(self.configuration_key)
        return known.revision if known else 0

    def note_proof(self, revision: int, proven_at: float) -> bool:
        """Take in that no configuration was newer than `revision` at that time.

        Returns whether that is the newest proof.

        Parameters
        ----------
        proven_at : float
            Seconds of the monotonic clock of this box.
        """
        if revision > self.configuration_revision:
            return False
        return self.proof.note(proven_at)

    def take_state(self, state: State, asked_at: float | None = None) -> bool:
        """Take in what another box knows; return whether it was newer.

        A box whose store is just back may tell of entries that lapsed meanwhile.

        Parameters
        ----------
        asked_at : float or None
            When that box was asked. Its proof counts from then: the question arrived
            at some time after that, and the age is told for its arrival.
        """
        self.heard_at = time.monotonic()
        is_newer = self.take_entries(state)
        if asked_at is not None and state.proof_age_seconds is not None:
            for entry in state.entries:
                if entry.key == self.configuration_key:
                    self.take_entry(entry)
            proven_at = asked_at - state.proof_age_seconds
            # Whoever listens here waits for a proof as for a change, also for one that
            # came by the second reader.
            if self.note_proof(state.proof_revision, proven_at):
                self.announce()
        return is_newer

    @property
    def hears_boxes(self) -> bool:
        """Whether another box has lately told what it knows."""
        return time.monotonic() - self.heard_at < HEARSAY_SECONDS

    def take_entries(self, state: State) -> bool:
        """Take in the entries of another box; return whether they were newer."""
        if state.steady_seconds > STEADY_SECONDS:
            self.others_steady_at = time.monotonic()
        if state.revision <= self.revision:
            return False
        if self.lost_since is not None and self.was_away:
            self.expect_lapses()
        if state.is_whole:
            self.replace_all(list(state.entries), state.revision)
            return True
        for entry in state.entries:
            self.take_entry(entry)
        for removal in state.removals:
            self.take_removal(removal)
        if state.keys is not None:
            self.keep_only(set(state.keys), state.revision)
        self.revision = state.revision
        self.announce()
        return True

    def take_entry(self, entry: MirroredEntry) -> None:
        """Hand over an entry, unless a newer state of it is known."""
        known = self.entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        self.entries[entry.key] = entry
        for prefix, follower in self.followers.items():
            if entry.key.startswith(prefix):
                follower.put(entry.key.removeprefix(prefix), entry.value)

    def take_removal(self, removal: Removal) -> None:
        """Hand over that an entry is gone, unless it came back since."""
        known = self.entries.get(removal.key)
        if known is None or known.revision > removal.revision:
            return
        del self.entries[removal.key]
        if len(self.removals) == KEPT_REMOVALS:
            self.complete_after = self.removals[0].revision
        self.removals.append(removal)
        for prefix, follower in self.followers.items():
            if removal.key.startswith(prefix):
                follower.remove(removal.key.removeprefix(prefix))

    def tell(
        self,
        after: int | None,
        takes_keys: bool = True,
        asked_at: float | None = None,
    ) -> State:
        """Return what is known beyond `after`, or everything.

        Parameters
        ----------
        asked_at : float or None
            When the question arrived here, if not just now.
        """
        if asked_at is None:
            asked_at = time.monotonic()
        age = asked_at - self.proof.proven_at
        state = State(
            self.revision,
            is_whole=False,
            steady_seconds=self.steady_seconds,
            proof_age_seconds=None if age == float("inf") else age,
            proof_revision=self.configuration_revision,
        )
        is_complete = after is not None and after >= self.complete_after
        if after is None or not (is_complete or takes_keys):
            everything = tuple(self.entries.values())
            return replace(state, is_whole=True, entries=everything)
        entries = tuple(e for e in self.entries.values() if e.revision > after)
        if not is_complete:
            return replace(state, entries=entries, keys=tuple(self.entries))
        removals = tuple(r for r in self.removals if r.revision > after)
        return replace(state, entries=entries, removals=removals)

    def wait_news(self, after: int | None, seconds: float) -> None:
        """Return once more than `after` is known, or the store is lost or back."""
        if after is None or self.revision > after or seconds <= 0:
            return
        with eventlet.Timeout(seconds, False):
            self.news.wait()

    def announce(self) -> None:
        """Wake whoever waits for news."""
        news, self.news = self.news, Event()
        news.send(None)

    def note_lost(self, why: str) -> None:
        """Log once that the store does not answer."""
        if self.lost_since is None:
            self.lost_since = time.monotonic()
            log.warning("Store lost.", extra={"why": why, "revision": self.revision})
            self.announce()

    def note_back(self) -> None:
        """Log once that the store answers again.

        Entries may have lapsed in an outage of the store, not while only this box was
        cut off from it: then what is gone has left.
        """
        if self.lost_since is None:
            return
        seconds = round(self.lost_seconds, 3)
        now = time.monotonic()
        self.lost_since = None
        self.back_at = now
        log.info(
            "Store answers.",
            extra={"after_seconds": seconds, "was_away": self.was_away},
        )
        if self.was_away:
            self.expect_lapses()
        self.announce()

    @property
    def was_away(self) -> bool:
        """Whether no box has lately told that its store answers."""
        return time.monotonic() - self.others_steady_at > HEARSAY_SECONDS

    def expect_lapses(self) -> None:
        """Tell the followers that entries may be gone for want of renewals."""
        for follower in self.followers.values():
            follower.note_store_back()
