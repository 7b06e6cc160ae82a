"""Registration of this box in the store, under a lease."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from cedarchute.membership.box_record import BoxRecord, BoxState
from cedarchute.platform.store_client import LeaseGoneError, StoreUnavailableError

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.membership.store_keys import StoreKeys
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.membership")


class ReplacedError(Exception):
    """A later incarnation of this box has registered; this process must stop."""

    code = "replaced"


class LeaseKeeper:
    """Publishes the record of this box and renews its lease.

    The lease is renewed at a third of its duration. If it is lost, the box registers
    again under a new one: a lost lease does not mean that the box has failed, and
    epochs fence off a box whose programs have another owner.
    """

    def __init__(
        self,
        store: StoreClient,
        keys: StoreKeys,
        view: View,
        record: BoxRecord,
        seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.keys = keys
        self.view = view
        self.record = record
        self.seconds = seconds
        self.clock = clock
        self.metrics = metrics
        self.lease_id = 0
        self.version = 0
        self.store_seen_at = clock.monotonic()

    def register(self) -> None:
        """Acquire a lease and write the record under it.

        Raises
        ------
        ReplacedError
            If the store has a record of a later incarnation.
        """
        self.lease_id = self.store.grant_lease(self.seconds)
        self.write_record()

    def write_record(self) -> None:
        """Write the current record by compare-and-swap, retrying on conflicts."""
        key = self.keys.box(self.record.name)
        while True:
            entry = self.store.get(key)
            if entry is not None:
                other = BoxRecord.model_validate_json(entry.value)
                if other.incarnation > self.record.incarnation:
                    raise ReplacedError(f"replaced by {other.identity}")
            version = entry.version if entry else 0
            value = self.record.to_json()
            if self.store.swap(key, value, version, self.lease_id).won:
                self.store_seen_at = self.clock.monotonic()
                self.view.put_box(self.record)
                return

    def leave(self) -> None:
        """Announce that this box accepts no new callers."""
        self.record = self.record.model_copy(update={"state": BoxState.LEAVING})
        self.view.put_box(self.record)
        try:
            self.write_record()
        except (StoreUnavailableError, LeaseGoneError):
            log.warning("Leaving state not stored; only heartbeats announce it.")

    def end(self) -> None:
        """Revoke the lease."""
        try:
            self.store.revoke_lease(self.lease_id)
        except StoreUnavailableError:
            log.warning("Store unavailable; lease not revoked, it will expire.")

    def renew_forever(self) -> None:
        """Renew the lease periodically until `ReplacedError` is raised."""
        while True:
            eventlet.sleep(self.seconds / 3)
            try:
                self.renew_once()
            except (StoreUnavailableError, LeaseGoneError) as error:
                self.metrics.count("membership.renewal_failed")
                log.warning("Lease renewal failed: %s", error)

    def renew_once(self) -> None:
        """Renew the lease, or register again if the store no longer has it."""
        try:
            self.store.renew_lease(self.lease_id)
            self.store_seen_at = self.clock.monotonic()
        except LeaseGoneError:
            self.metrics.count("membership.lease_lost")
            log.warning("Lease not found in the store; registering under a new one.")
            self.register()
