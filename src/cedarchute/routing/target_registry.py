"""The targets that may be used now."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarchute.fleet.lapsing_entries import LapsingEntries

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.routing")


class TargetRegistry:
    """Follows the entries of targets; tells `on_gone` of those that leave."""

    def __init__(self, on_gone: Callable[[TargetEntry], None]) -> None:
        self.on_gone = on_gone
        self.known: LapsingEntries[TargetEntry] = LapsingEntries(self.note_gone)

    def list_ready(self, service: str) -> list[TargetEntry]:
        """Return the targets of `service` that take new work."""
        entries = self.known.entries.values()
        return [e for e in entries if e.service == service and e.ready]

    def put(self, entry: TargetEntry) -> None:
        """Take in an entry."""
        before = self.known.put(entry.id, entry)
        if before is not None and before.ready == entry.ready:
            return
        log.info(
            "Target is ready." if entry.ready else "Target is leaving.",
            extra={"target": entry.id, "service": entry.service},
        )
        if not entry.ready:
            self.on_gone(entry)

    def remove(self, target: str) -> None:
        """Take in that an entry is gone."""
        if not self.known.remove(target):
            log.info("Target's entry lapsed.", extra={"target": target})

    def note_gone(self, entry: TargetEntry) -> None:
        """Log that a target is used no more, and pass it on."""
        log.info("Target is gone.", extra={"target": entry.id})
        self.on_gone(entry)
