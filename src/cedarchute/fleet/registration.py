"""Registers this box in the store under a lease."""

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
    from cedarchute.fleet.store_mirror import StoreMirror
    from cedarchute.metrics import Metrics
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.fleet")

BOXES_PREFIX: Final = "cedarchute/boxes/"
# How long a failed box stays in the addresses for callers, who skip boxes that do not
# respond.
LEASE_SECONDS: Final = 5.4
# A third of the lease, so that two renewals may fail. After an outage a box also has to
# register again before other boxes drop its lapsed entry.
RENEW_SECONDS: Final = 1.8
# Upper bound of the retry delay. Store calls are billed, also rejected ones, but
# entries have to be back within about 2 s of the end of an outage.
MAX_RETRY_SECONDS: Final = 1.5
# How often the counts of store calls are logged, by kind: they are the largest cost of
# a large fleet at rest.
CALL_LOG_PERIOD_SECONDS: Final = 5.0


class Registration:
    """Writes the entry, renews its lease and registers again after a lost lease.

    Attributes
    ----------
    published : BoxEntry or None
        The entry that the store has confirmed last.
    revision : int
        The revision at which it was written.
    """

    def __init__(
        self,
        store: StoreClient,
        entry: BoxEntry,
        note_reachable: Callable[[bool], None],
        metrics: Metrics,
        mirror: StoreMirror | None = None,
    ) -> None:
        self.mirror = mirror
        self.note_reachable = note_reachable
        self.store = store
        self.entry = entry
        self.metrics = metrics
        self.published: BoxEntry | None = None
        self.revision = 0
        self.lease: int | None = None
        self.backoff = Backoff(MAX_RETRY_SECONDS)
        self.next_call_log_at = 0.0

    def run_forever(self) -> None:
        """Keep the registration until the process ends."""
        while True:
            try:
                self.renew_once()
                self.note_reachable(True)
                self.backoff.reset()
                self.log_store_calls()
                eventlet.sleep(RENEW_SECONDS)
            except (StoreUnavailableError, LeaseGoneError) as error:
                self.metrics.count("registration.failures")
                log.info("Registration failed.", extra={"why": str(error)})
                if isinstance(error, LeaseGoneError):
                    self.lease = None
                else:
                    self.note_reachable(False)
                    eventlet.sleep(self.backoff.next_seconds())

    def renew_once(self) -> None:
        """Renew the lease, or acquire one; write an entry that is not published."""
        if self.lease is None:
            lease = self.store.grant_lease(LEASE_SECONDS)
            self.write(lease)
            self.lease = lease
            log.info("Registered.", extra={"lease": lease})
        else:
            self.store.renew_lease(self.lease)
        # It may have changed during the write, or while the store was unavailable.
        if self.published is not self.entry:
            self.write(self.lease)
        elif self.is_overwritten:
            self.metrics.count("registration.overwritten")
            log.warning("Entry was removed or overwritten.")
            self.write(self.lease)

    @property
    def is_overwritten(self) -> bool:
        """Whether the entry is not the one that was written last, as the mirror knows.

        A write without an answer may be done late, under a lease that was given up.
        """
        if self.mirror is None or self.mirror.revision < self.revision:
            return False
        known = self.mirror.entries.get(BOXES_PREFIX + self.entry.name)
        return known is None or known.revision != self.revision

    def log_store_calls(self) -> None:
        """Log the counts of store calls once per period."""
        now = time.monotonic()
        if now < self.next_call_log_at:
            return
        self.next_call_log_at = now + CALL_LOG_PERIOD_SECONDS
        totals = self.metrics.totals.items()
        calls = {name: n for name, n in totals if name.startswith("store.")}
        log.info("Calls to the store.", extra={"calls": calls})

    def write(self, lease: int) -> None:
        """Write the current entry under `lease`."""
        entry = self.entry
        text = msgspec.json.encode(entry).decode()
        self.revision = self.store.put(BOXES_PREFIX + entry.name, text, lease)
        self.published = entry

    def leave(self) -> None:
        """Mark this box as draining: it accepts no new work."""
        self.publish(msgspec.structs.replace(self.entry, leaving=True))

    def publish_isolated(self, is_isolated: bool) -> None:
        """Publish whether this box reaches a quorum of holders."""
        self.publish(msgspec.structs.replace(self.entry, is_isolated=is_isolated))

    def publish(self, entry: BoxEntry) -> None:
        """Publish another state of this box."""
        self.entry = entry
        if self.lease is None:
            return
        try:
            self.write(self.lease)
        except (StoreUnavailableError, LeaseGoneError) as error:
            log.warning(
                "State of this box could not be published.", extra={"why": str(error)}
            )

    def end(self) -> None:
        """Revoke the lease, which removes the entry."""
        if self.lease is None:
            return
        try:
            self.store.revoke_lease(self.lease)
        except StoreUnavailableError as error:
            log.info("The lease runs out by itself.", extra={"why": str(error)})
