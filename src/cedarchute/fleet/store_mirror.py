"""Local copy of the store's entries, fed by the store or by another box."""

from __future__ import annotations

import logging
import time
from collections import deque
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event
from msgspec import UNSET
from msgspec.structs import replace

from cedarchute.fleet.freshness_proof import FreshnessProof
from cedarchute.fleet.state_messages import MirroredEntry, Removal, State

if TYPE_CHECKING:
    from cedarchute.fleet.store_follower import StoreFollower
    from cedarchute.platform.store_entry import StoreChange, StoreListing

log = logging.getLogger("cedarchute.fleet")

# Removals kept for boxes that request changes; a box that is further behind receives
# the list of remaining keys instead.
MAX_KEPT_REMOVALS: Final = 512
# A box that has reached the store for this long is past the time in which entries
# lapse in an outage and are written again.
STEADY_SECONDS: Final = 3.0
# How long a state from another box counts as current: a few polling periods.
PEER_STATE_VALID_SECONDS: Final = 1.5


class StoreMirror:
    """Passes each entry to the follower of its prefix; revisions never decrease.

    While the store is unavailable all entries are kept: an outage of the store says
    nothing about the boxes and targets registered there.

    Parameters
    ----------
    min_outage_seconds : float
        Length of an outage in which entries may lapse although their owners are alive.

    Attributes
    ----------
    configuration_key : str
        Key of the operators' configuration in the store.
    proof : FreshnessProof
        When the configuration was last known to be the newest.
    completeness : FreshnessProof
        When the entries were last known to be all that the store holds.
    told_revision : int
        Revision up to which other boxes alone have sent every entry; 0 if they have
        not, so that the entries are complete by listings of the store only.
    """

    def __init__(
        self,
        followers: dict[str, StoreFollower],
        configuration_key: str = "",
        min_outage_seconds: float = 0.0,
    ) -> None:
        self.followers = followers
        self.min_outage_seconds = min_outage_seconds
        self.configuration_key = configuration_key
        self.proof = FreshnessProof()
        self.completeness = FreshnessProof()
        self.entries: dict[str, MirroredEntry] = {}
        self.removals: deque[Removal] = deque(maxlen=MAX_KEPT_REMOVALS)
        self.revision = 0
        self.told_revision = 0
        self.complete_after = 0
        self.unavailable_since: float | None = time.monotonic()
        self.available_since = time.monotonic()
        self.peers_steady_at = float("-inf")
        self.peer_state_at = float("-inf")
        self.updated = Event()

    @property
    def steady_seconds(self) -> float:
        """How long the store has been available; 0 while it is not."""
        return (
            0.0 if self.unavailable_since else time.monotonic() - self.available_since
        )

    @property
    def unavailable_seconds(self) -> float:
        """How long the store has been unavailable; 0 while it is available."""
        return (
            0.0
            if self.unavailable_since is None
            else time.monotonic() - self.unavailable_since
        )

    def apply_listing(
        self, listing: StoreListing, asked_at: float | None = None
    ) -> bool:
        """Apply a full listing; return False if it is older than the known state.

        An older listing may hold entries that another box has reported as removed, and
        no later change would remove them again.

        Parameters
        ----------
        asked_at : float or None
            When the listing was requested; None if it may be stale.
        """
        if listing.revision < self.revision:
            return False
        entries = [MirroredEntry(e.key, e.value, e.version) for e in listing.entries]
        self.replace_all(entries, listing.revision)
        self.note_complete(listing.revision, asked_at)
        return True

    def note_complete(self, revision: int, asked_at: float | None) -> None:
        """Record that the store was at `revision` at `asked_at`, or later.

        Parameters
        ----------
        asked_at : float or None
            Seconds, on the monotonic clock of this box; None if unknown.
        """
        if asked_at is not None and revision <= self.revision:
            self.completeness.record(asked_at)

    def replace_all(self, entries: list[MirroredEntry], revision: int) -> None:
        """Replace the contents with `entries`; remove every other key."""
        for entry in entries:
            self.take_entry(entry)
        self.remove_other_keys({entry.key for entry in entries}, revision)
        self.removals.clear()
        self.complete_after = revision
        self.revision = max(self.revision, revision)
        self.notify_waiters()

    def remove_other_keys(self, keys: set[str], revision: int) -> None:
        """Remove every key outside `keys`, as of a revision."""
        for key in [known for known in self.entries if known not in keys]:
            self.apply_removal(Removal(key, revision))

    def apply_changes(
        self,
        changes: list[StoreChange],
        revision: int,
        asked_at: float | None = None,
    ) -> None:
        """Apply the changes up to `revision` that the store reported.

        Parameters
        ----------
        asked_at : float or None
            When they were requested.
        """
        for change in changes:
            if change.entry is None:
                self.apply_removal(Removal(change.key, change.revision))
            else:
                entry = change.entry
                self.take_entry(MirroredEntry(entry.key, entry.value, entry.version))
        self.revision = max(self.revision, revision)
        self.note_complete(revision, asked_at)
        self.notify_waiters()

    @property
    def configuration_revision(self) -> int:
        """Revision of the known configuration; 0 without one."""
        known = self.entries.get(self.configuration_key)
        return known.revision if known else 0

    def note_proof(self, revision: int, proven_at: float) -> bool:
        """Record that no configuration was newer than `revision` at `proven_at`.

        Returns whether this is the newest freshness proof.

        Parameters
        ----------
        proven_at : float
            Seconds, on the monotonic clock of this box.
        """
        if revision > self.configuration_revision:
            return False
        return self.proof.record(proven_at)

    def take_state(self, state: State, asked_at: float | None = None) -> bool:
        """Apply the state of another box; return whether it was newer.

        A box that has just reached the store again may report entries that lapsed
        during the outage.

        Parameters
        ----------
        asked_at : float or None
            When the request was sent. The age of the proof is subtracted from it: the
            sender states the age at the arrival of the request, which is later.
        """
        self.peer_state_at = time.monotonic()
        is_newer = self.apply_entries(state)
        complete_age = state.complete_age_seconds
        if complete_age is UNSET:
            complete_age = state.proof_age_seconds
        if asked_at is not None and complete_age is not None:
            self.note_complete(state.revision, asked_at - complete_age)
        if asked_at is not None and state.proof_age_seconds is not None:
            for entry in state.entries:
                if entry.key == self.configuration_key:
                    self.take_entry(entry)
            proven_at = asked_at - state.proof_age_seconds
            # Boxes that poll this one wait for proofs as well as for changes, also for
            # proofs that came from the second reader.
            if self.note_proof(state.proof_revision, proven_at):
                self.notify_waiters()
        return is_newer

    @property
    def has_recent_peer_state(self) -> bool:
        """Whether another box has recently sent its state."""
        return time.monotonic() - self.peer_state_at < PEER_STATE_VALID_SECONDS

    def apply_entries(self, state: State) -> bool:
        """Apply the entries of another box; return whether they were newer."""
        if state.steady_seconds > STEADY_SECONDS:
            self.peers_steady_at = time.monotonic()
        if state.revision <= self.revision:
            return False
        if self.unavailable_since is not None and self.may_have_lapsed:
            self.start_lapse_grace()
        if state.is_whole or self.told_revision == self.revision:
            self.told_revision = state.revision
        if state.is_whole:
            self.replace_all(list(state.entries), state.revision)
            return True
        for entry in state.entries:
            self.take_entry(entry)
        for removal in state.removals:
            self.apply_removal(removal)
        if state.keys is not None:
            self.remove_other_keys(set(state.keys), state.revision)
        self.revision = state.revision
        self.notify_waiters()
        return True

    def take_entry(self, entry: MirroredEntry) -> None:
        """Store an entry and pass it to its follower, unless a newer one is known."""
        known = self.entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        self.entries[entry.key] = entry
        for prefix, follower in self.followers.items():
            if entry.key.startswith(prefix):
                follower.put(entry.key.removeprefix(prefix), entry.value)

    def apply_removal(self, removal: Removal) -> None:
        """Remove an entry and notify its follower, unless a newer one is known."""
        known = self.entries.get(removal.key)
        if known is None or known.revision > removal.revision:
            return
        del self.entries[removal.key]
        if len(self.removals) == MAX_KEPT_REMOVALS:
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
        """Return the changes after revision `after`, or the full state.

        Parameters
        ----------
        asked_at : float or None
            When the request arrived; now by default.
        """
        if asked_at is None:
            asked_at = time.monotonic()
        state = State(
            self.revision,
            is_whole=False,
            steady_seconds=self.steady_seconds,
            proof_age_seconds=find_age(self.proof, asked_at),
            proof_revision=self.configuration_revision,
            complete_age_seconds=find_age(self.completeness, asked_at),
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

    def wait_for_update(self, after: int | None, seconds: float) -> None:
        """Wait for a revision above `after`, or for the store to fail or recover."""
        if after is None or self.revision > after or seconds <= 0:
            return
        with eventlet.Timeout(seconds, False):
            self.updated.wait()

    def notify_waiters(self) -> None:
        """Wake all callers of `wait_for_update`."""
        updated, self.updated = self.updated, Event()
        updated.send(None)

    def record_outage(self, why: str) -> None:
        """Record the start of an outage of the store; log it once."""
        if self.unavailable_since is None:
            self.unavailable_since = time.monotonic()
            log.warning("Store lost.", extra={"why": why, "revision": self.revision})
            self.notify_waiters()

    def record_recovery(self) -> None:
        """Record the end of an outage of the store; log it once.

        Leases run out only in an outage that all boxes saw. If only this box was cut
        off, a missing entry was removed by its owner.
        """
        if self.unavailable_since is None:
            return
        seconds = round(self.unavailable_seconds, 3)
        now = time.monotonic()
        self.unavailable_since = None
        self.available_since = now
        log.info(
            "Store available again.",
            extra={
                "after_seconds": seconds,
                "was_away": self.is_fleet_wide_outage,
                "may_have_lapsed": self.may_have_lapsed,
            },
        )
        if self.may_have_lapsed:
            self.start_lapse_grace()
        self.notify_waiters()

    @property
    def is_fleet_wide_outage(self) -> bool:
        """Whether no other box has recently reported a stable store."""
        return time.monotonic() - self.peers_steady_at > PEER_STATE_VALID_SECONDS

    @property
    def may_have_lapsed(self) -> bool:
        """Whether entries may have lapsed since this box last knew all of them.

        The store answered at that moment, so no outage was longer. A call that got no
        answer while others did is no outage at all.
        """
        if self.completeness.age_seconds < self.min_outage_seconds:
            return False
        return self.is_fleet_wide_outage

    def start_lapse_grace(self) -> None:
        """Tell the followers that entries may have lapsed in the outage."""
        for follower in self.followers.values():
            follower.note_store_back()


def find_age(proof: FreshnessProof, asked_at: float) -> float | None:
    """Return the age of a proof at `asked_at`; None without one."""
    age = asked_at - proof.proven_at
    return None if age == float("inf") else age
