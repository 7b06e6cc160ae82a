"""Holds the newest configuration; it never goes back."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.routing.route_table import RouteTable

log = logging.getLogger("cedarchute.routing")


class ActiveRouteTable:
    """The configuration in force at this box, None before the first."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.table: RouteTable | None = None
        self.first = Event()

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.table.version if self.table else 0

    def wait(self, seconds: float) -> RouteTable | None:
        """Return the configuration in force; wait for the first, if need be."""
        if self.table is None:
            with eventlet.Timeout(seconds, False):
                self.first.wait()
        return self.table

    def update_if_newer(self, table: RouteTable, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if table.version <= self.version:
            return False
        before = self.version
        self.table = table
        if not before:
            self.first.send(None)
        self.metrics.count("configuration.in_force")
        log.info(
            "Configuration in force.",
            extra={"version": table.version, "before": before, "source": source},
        )
        return True
