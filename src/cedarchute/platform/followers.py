"""Takes what the platform says in its store into the books of this box."""

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
    """Puts the operators' configuration in force."""

    def __init__(self, book: ActiveRouteTable, turned_away: TurnedAway) -> None:
        self.book = book
        self.turned_away = turned_away

    def put(self, key: str, value: str) -> None:
        """Take in a configuration."""
        self.offer(value, "store")

    def offer(self, text: str, source: str) -> None:
        """Take in a configuration from anywhere; one that is not valid is left."""
        try:
            self.book.update_if_newer(read_route_table(text), source)
        except DocumentError as error:
            self.turned_away.note("configuration", CONFIGURATION, str(error))

    def remove(self, key: str) -> None:
        """Keep what is in force."""
        log.warning("Configuration removed from the store; the last one stays.")

    def note_store_back(self) -> None:
        """Nothing of it lapses."""


class TargetFollower:
    """Keeps the registry of targets.

    An entry that cannot be read names no target to use: a target that was known under
    its key gets nothing new until a readable one takes its place, and calls under way
    at it go on.
    """

    def __init__(self, registry: TargetRegistry, turned_away: TurnedAway) -> None:
        self.registry = registry
        self.turned_away = turned_away

    def put(self, key: str, value: str) -> None:
        """Take in a target."""
        try:
            self.registry.put(read_target(key, value))
        except DocumentError as error:
            self.turned_away.note("target", key, str(error))
            self.registry.mark_not_ready(key)

    def remove(self, key: str) -> None:
        """Take in that a target's entry is gone."""
        self.registry.remove(key)

    def note_store_back(self) -> None:
        """Give targets time to come back."""
        self.registry.known.note_store_back()
