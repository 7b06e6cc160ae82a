"""Applies changes in the store to the view and the configuration."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.membership.box_record import BoxRecord
from cedarchute.operators.accepted_file import AcceptedFile
from cedarchute.platform.store_client import StoreUnavailableError

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.membership.store_keys import StoreKeys
    from cedarchute.membership.view import View
    from cedarchute.operators.configuration import Configuration
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.platform.store_entry import StoreEntry

log = logging.getLogger("cedarchute.membership")

RETRY_SECONDS: Final = 0.5


class StoreWatcher:
    """Lists all entries, then watches the store for changes.

    While the store is unavailable the view stays unchanged, because an unavailable
    store says nothing about the boxes.
    """

    def __init__(
        self,
        store: StoreClient,
        keys: StoreKeys,
        view: View,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        self.store = store
        self.keys = keys
        self.view = view
        self.configuration = configuration
        self.clock = clock

    def watch_forever(self) -> None:
        """List and watch; start over after each interruption."""
        while True:
            try:
                self.watch_once(self.read_all())
            except StoreUnavailableError as error:
                log.debug("Watch interrupted: %s", error)
                eventlet.sleep(RETRY_SECONDS)

    def read_all(self) -> int:
        """Apply all entries, drop missing boxes and return the store's revision."""
        listing = self.store.list(self.keys.prefix)
        present = set()
        for entry in listing.entries:
            present.add(entry.key)
            self.apply_entry(entry)
        for name in list(self.view.boxes):
            if self.keys.box(name) not in present:
                self.view.drop_box(name, self.clock.monotonic())
        return listing.revision

    def watch_once(self, revision: int) -> None:
        """Apply the changes of one watch until it ends."""
        for change in self.store.watch(self.keys.prefix, revision):
            if change.entry is not None:
                self.apply_entry(change.entry)
            else:
                self.apply_removal(change.key)

    def apply_entry(self, entry: StoreEntry) -> None:
        """Apply a new or changed entry."""
        if entry.key.startswith(self.keys.boxes):
            self.view.put_box(BoxRecord.model_validate_json(entry.value))
        elif entry.key.startswith(self.keys.partitions):
            self.view.put_partition(entry)
        elif entry.key == self.keys.configuration:
            self.configuration.offer(
                AcceptedFile.model_validate_json(entry.value), "store"
            )

    def apply_removal(self, key: str) -> None:
        """Apply the removal of a key."""
        if key.startswith(self.keys.boxes):
            name = key.removeprefix(self.keys.boxes)
            self.view.drop_box(name, self.clock.monotonic())
        elif key.startswith(self.keys.partitions):
            self.view.drop_partition(key.removeprefix(self.keys.partitions))
