"""Starts the tasks of a box and waits for its planned stop."""

from __future__ import annotations

import logging
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.membership.lease_keeper import ReplacedError
from cedarchute.platform.store_client import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.daemon.stopper import Stopper
    from cedarchute.membership.heartbeats import Heartbeats
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.store_watcher import StoreWatcher

log = logging.getLogger("cedarchute.daemon")

EXIT_REPLACED: Final = 3
START_RETRY_SECONDS: Final = 0.5
ASKED_AT_START: Final = 5
TASK_RETRY_SECONDS: Final = 1.0


@dataclass
class Daemon:
    """Every part that has to be started, in the order of the start."""

    keeper: LeaseKeeper
    watcher: StoreWatcher
    heartbeats: Heartbeats
    stopper: Stopper
    open_fronts: Callable[[], None]
    tasks: list[Callable[[], None]]

    def run(self) -> None:
        """Serve until the planned stop is done."""
        self.join()
        for task in self.tasks:
            eventlet.spawn_n(self.run_task, task)
        self.open_fronts()
        record = self.keeper.record
        log.info("Box %s serves at %s.", record.identity, record.caller_address)
        self.stopper.run()

    def join(self) -> None:
        """Read what is shared, take the newest configuration, register.

        Raises
        ------
        StopAskedError
            When a planned stop is asked for while the store is unavailable.
        """
        while True:
            try:
                self.watcher.read_all()
                for peer in list(self.watcher.view.boxes.values())[:ASKED_AT_START]:
                    self.heartbeats.fetch(peer)
                self.keeper.register()
                return
            except StoreUnavailableError as error:
                log.warning("Store unavailable, waiting to join: %s", error)
                self.stopper.asked.pause_start(START_RETRY_SECONDS)

    def run_task(self, task: Callable[[], None]) -> None:
        """Run a task for ever; a fault in it is logged and it goes on."""
        while True:
            try:
                task()
            except ReplacedError as error:
                log.error("This process stops: %s", error)
                os._exit(EXIT_REPLACED)
            except Exception:
                log.exception("Task failed and starts again.")
                eventlet.sleep(TASK_RETRY_SECONDS)
