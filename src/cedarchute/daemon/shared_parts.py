"""What a box shares with others: its record, its view of them, copies of records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.copies.disk_storage import DiskStorage
from cedarchute.copies.holder import Holder
from cedarchute.copies.record_storage import MemoryStorage, RecordStorage
from cedarchute.copies.replicator import Replicator
from cedarchute.membership.box_record import BoxRecord
from cedarchute.membership.incarnation import take_incarnation
from cedarchute.membership.lease_keeper import LeaseKeeper
from cedarchute.membership.store_keys import StoreKeys
from cedarchute.membership.store_watcher import StoreWatcher
from cedarchute.membership.view import View
from cedarchute.operators.configuration import Configuration
from cedarchute.peers.peer_client import PeerClient
from cedarchute.platform.store_client import StoreClient

if TYPE_CHECKING:
    from pathlib import Path

    from cedarchute.clock import Clock
    from cedarchute.daemon.stop_request import StopRequest
    from cedarchute.metrics import Metrics
    from cedarchute.settings.box_settings import BoxSettings


class SharedParts:
    """Store, membership, configuration and copies; takes the box's incarnation."""

    def __init__(
        self,
        settings: BoxSettings,
        clock: Clock,
        metrics: Metrics,
        stop: StopRequest,
    ) -> None:
        box = settings.box
        takeover_seconds = settings.membership.takeover_seconds
        self.store = StoreClient(settings.platform.store, metrics)
        self.keys = StoreKeys(settings.platform.key_prefix)
        number = take_incarnation(
            self.store, self.keys.incarnation(box.name), clock, stop.pause_start
        )
        storage, holder_name = open_storage(box.data_folder, f"{box.name}.{number}")
        self.record = BoxRecord(
            name=box.name,
            incarnation=number,
            caller_address=box.caller_address,
            peer_address=box.peer_address,
            failure_domain=box.failure_domain,
            region=box.region,
            holder=holder_name,
            bulk=box.data_folder is not None,
        )
        self.view = View()
        self.configuration = Configuration(metrics)
        self.client = PeerClient(metrics)
        self.keeper = LeaseKeeper(
            self.store,
            self.keys,
            self.view,
            self.record,
            settings.membership.lease_seconds,
            clock,
            metrics,
        )
        self.watcher = StoreWatcher(
            self.store, self.keys, self.view, self.configuration, clock
        )
        self.holder = Holder(holder_name, storage, takeover_seconds, clock, metrics)
        self.replicator = Replicator(
            self.holder,
            self.view,
            self.client,
            settings.copies,
            takeover_seconds,
            clock,
            metrics,
        )


def open_storage(folder: Path | None, new_holder: str) -> tuple[RecordStorage, str]:
    """Return where copies are kept, and the name of the holder they belong to."""
    if folder is None:
        return MemoryStorage(), new_holder
    storage = DiskStorage(folder)
    return storage, storage.name_holder(new_holder)
