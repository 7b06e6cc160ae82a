"""Keeps the entry of this box in the store, under a lease."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet
import msgspec

from cedarchute.fleet.backoff import Backoff
from cedarchute.platform.store_client import LeaseGoneError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.fleet.box_entry import BoxEntry
    from cedarchute.metrics import Metrics
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.fleet")

BOXES_PREFIX: Final = "cedarchute/boxes/"
# How long a box that dies is still named to callers, who skip what does not answer.
LEASE_SECONDS: Final = 2.7
# Two renewals may be lost before the lease runs out.
RENEW_SECONDS: Final = 0.9
# Each call to the store costs money, also one that it refuses, and every box calls.
# Entries have to be back within some 2 s of the store's return, though.
LONGEST_RETRY_SECONDS: Final = 1.5


class Registration:
    """Writes the entry, renews its lease, writes it again when it was lost."""

    def __init__(
        self,
        store: StoreClient,
        entry: BoxEntry,
        note_reachable: Callable[[bool], None],
        metrics: Metrics,
    ) -> None:
        self.note_reachable = note_reachable
        self.store = store
        self.entry = entry
        self.metrics = metrics
        self.lease: int | None = None
        self.backoff = Backoff(LONGEST_RETRY_SECONDS)

    def run_forever(self) -> None:
        """Stay registered for the life of the process."""
        while True:
            try:
                self.renew_once()
                self.note_reachable(True)
                self.backoff.reset()
                eventlet.sleep(RENEW_SECONDS)
            except (StoreUnavailableError, LeaseGoneError) as error:
                self.metrics.count("registration.failures")
                log.info("Not registered.", extra={"why": str(error)})
                if isinstance(error, LeaseGoneError):
                    self.lease = None
                else:
                    self.note_reachable(False)
                    eventlet.sleep(self.backoff.next_seconds())

    def renew_once(self) -> None:
        """Renew the lease, or take one and write the entry under it."""
        if self.lease is not None:
            self.store.renew_lease(self.lease)
            return
        lease = self.store.grant_lease(LEASE_SECONDS)
        self.write(lease)
        self.lease = lease
        log.info("Registered.", extra={"lease": lease})

    def write(self, lease: int) -> None:
        """Write the entry as it is now."""
        text = msgspec.json.encode(self.entry).decode()
        self.store.put(BOXES_PREFIX + self.entry.name, text, lease)

    def leave(self) -> None:
        """Tell everyone that this box takes nothing new."""
        self.tell_leaving(True)

    def tell_leaving(self, leaving: bool) -> None:
        """Tell everyone whether this box takes anything new."""
        self.entry = msgspec.structs.replace(self.entry, leaving=leaving)
        if self.lease is None:
            return
        try:
            self.write(self.lease)
        except (StoreUnavailableError, LeaseGoneError) as error:
            log.warning("Leaving was not told.", extra={"why": str(error)})

    def end(self) -> None:
        """Give the lease back, and the entry with it."""
        if self.lease is None:
            return
        try:
            self.store.revoke_lease(self.lease)
        except StoreUnavailableError as error:
            log.info("The lease runs out by itself.", extra={"why": str(error)})
