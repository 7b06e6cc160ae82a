"""Keeps the entry of this box in the store, under a lease."""

from __future__ import annotations

import logging
import time
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
LEASE_SECONDS: Final = 5.4
# Two renewals may be lost before the lease runs out. Boxes at rest make no other calls,
# and one whose lease lapsed with the store has to be back before others drop it.
RENEW_SECONDS: Final = 1.8
# Each call to the store costs money, also one that it refuses, and every box calls.
# Entries have to be back within some 2 s of the store's return, though.
LONGEST_RETRY_SECONDS: Final = 1.5
# Calls to the store are the largest price of a large fleet at rest; a line this often
# tells what they were for.
TELL_CALLS_SECONDS: Final = 5.0


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
        self.tell_calls_at = 0.0

    def run_forever(self) -> None:
        """Stay registered for the life of the process."""
        while True:
            try:
                self.renew_once()
                self.note_reachable(True)
                self.backoff.reset()
                self.tell_calls()
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

    def tell_calls(self) -> None:
        """Log now and then how often this box called the store, and for what."""
        now = time.monotonic()
        if now < self.tell_calls_at:
            return
        self.tell_calls_at = now + TELL_CALLS_SECONDS
        totals = self.metrics.totals.items()
        calls = {name: n for name, n in totals if name.startswith("store.")}
        log.info("Calls to the store.", extra={"calls": calls})

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
