"""Holds the newest route table; its version never decreases."""

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
    """The route table in force at this box; None until the first is loaded."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.table: RouteTable | None = None
        self.first_loaded = Event()

    @property
    def version(self) -> int:
        """The version in force; 0 until the first is loaded."""
        return self.table.version if self.table else 0

    def find_health_path(self, service: str) -> str:
        """Return where targets of a service answer health checks; empty if nowhere."""
        found = self.table.services.get(service) if self.table else None
        return found.health_path if found else ""

    def wait(self, seconds: float) -> RouteTable | None:
        """Return the table in force; wait up to `seconds` for the first one."""
        if self.table is None:
            with eventlet.Timeout(seconds, False):
                self.first_loaded.wait()
        return self.table

    def update_if_newer(self, table: RouteTable, source: str) -> bool:
        """Put a table in force if it is newer; return whether it was."""
        if table.version <= self.version:
            return False
        before = self.version
        self.table = table
        if not before:
            self.first_loaded.send(None)
        self.metrics.count("configuration.in_force")
        log.info(
            "Configuration in force.",
            extra={"version": table.version, "before": before, "source": source},
        )
        return True
