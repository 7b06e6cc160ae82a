"""Keeps the record of this box in the store, under a lease."""

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
    """A later incarnation of this box has started; this process must stop."""

    code = "replaced"


class LeaseKeeper:
    """Renews the lease three times in its length and puts the record back.

    Nothing here decides that the box is gone: a lease that could not be renewed
    is simply taken again, and epochs keep a box that was replaced from acting.
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
        self.lease = 0
        self.version = 0
        self.store_seen_at = clock.monotonic()

    def register(self) -> None:
        """Take a lease and write the record under it.

        Raises
        ------
        ReplacedError
            When a later incarnation stands in the store.
        """
        self.lease = self.store.grant_lease(self.seconds)
        self.write()

    def write(self) -> None:
        """Write the record as it is now."""
        key = self.keys.box(self.record.name)
        while True:
            entry = self.store.get(key)
            if entry is not None:
                other = BoxRecord.model_validate_json(entry.value)
                if other.incarnation > self.record.incarnation:
                    raise ReplacedError(f"replaced by {other.identity}")
            version = entry.version if entry else 0
            value = self.record.to_json()
            if self.store.swap(key, value, version, self.lease).won:
                self.store_seen_at = self.clock.monotonic()
                self.view.put_box(self.record)
                return

    def leave(self) -> None:
        """Tell everyone that this box takes no new callers."""
        self.record = self.record.model_copy(update={"state": BoxState.LEAVING})
        self.view.put_box(self.record)
        try:
            self.write()
        except (StoreUnavailableError, LeaseGoneError):
            log.warning("Store unavailable, leaving is told by heartbeats only.")

    def end(self) -> None:
        """Give the lease back."""
        try:
            self.store.revoke_lease(self.lease)
        except StoreUnavailableError:
            log.warning("Store unavailable, the lease will run out by itself.")

    def renew_forever(self) -> None:
        """Renew until `ReplacedError`."""
        while True:
            eventlet.sleep(self.seconds / 3)
            try:
                self.renew_once()
            except (StoreUnavailableError, LeaseGoneError) as error:
                self.metrics.count("membership.renewal_failed")
                log.warning("Lease not renewed: %s", error)

    def renew_once(self) -> None:
        """Renew the lease, or take a new one when the store forgot it."""
        try:
            self.store.renew_lease(self.lease)
            self.store_seen_at = self.clock.monotonic()
        except LeaseGoneError:
            self.metrics.count("membership.lease_lost")
            log.warning("Lease gone, taking a new one.")
            self.register()
