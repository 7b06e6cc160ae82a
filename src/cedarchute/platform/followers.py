"""Applies changes in the platform's store to this box's tables."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarchute.platform.keys import CONFIGURATION
from cedarchute.platform.routing_document import (
    DocumentError,
    read_route_table,
    read_target,
)

if TYPE_CHECKING:
    from cedarchute.fleet.turned_away import TurnedAway
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.target_registry import TargetRegistry

log = logging.getLogger("cedarchute.platform")


class ConfigurationFollower:
    """Applies the operators' configuration to the active route table."""

    def __init__(self, book: ActiveRouteTable, turned_away: TurnedAway) -> None:
        self.book = book
        self.turned_away = turned_away

    def put(self, key: str, value: str) -> None:
        """Apply a configuration read from the store."""
        self.offer(value, "store")

    def offer(self, text: str, source: str) -> None:
        """Apply a configuration from any source; an invalid one is rejected."""
        try:
            self.book.update_if_newer(read_route_table(text), source)
        except DocumentError as error:
            self.turned_away.note("configuration", CONFIGURATION, str(error))

    def remove(self, key: str) -> None:
        """Keep the active configuration."""
        log.warning("Configuration removed from the store; the active one stays.")

    def note_store_back(self) -> None:
        """Do nothing: the configuration does not expire."""


class TargetFollower:
    """Applies changes of target entries to the target registry.

    When an entry is invalid, the target known under its key receives no new calls
    until a valid entry replaces it; calls in progress continue.
    """

    def __init__(self, registry: TargetRegistry, turned_away: TurnedAway) -> None:
        self.registry = registry
        self.turned_away = turned_away

    def put(self, key: str, value: str) -> None:
        """Add or update a target."""
        try:
            self.registry.put(read_target(key, value))
        except DocumentError as error:
            self.turned_away.note("target", key, str(error))
            self.registry.mark_not_ready(key)

    def remove(self, key: str) -> None:
        """Remove a target whose entry was deleted."""
        self.registry.remove(key)

    def note_store_back(self) -> None:
        """Give targets time to register again."""
        self.registry.known.note_store_back()
