"""The configuration in force on this box; it never goes back."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.operators.accepted_file import AcceptedFile
    from cedarchute.operators.site_file import SiteFile

log = logging.getLogger("cedarchute.configuration")


class Configuration:
    """Holds the highest accepted revision that this box has seen.

    Offers come from the store's watch, from peers' heartbeats and from the disk;
    whichever is first wins, and a lower revision is ignored whoever offers it.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.accepted: AcceptedFile | None = None
        self.listeners: list[Callable[[AcceptedFile], None]] = []

    @property
    def revision(self) -> int:
        """The revision in force here, 0 when there is none."""
        return self.accepted.revision if self.accepted else 0

    @property
    def site(self) -> SiteFile | None:
        """The parsed file in force here."""
        return self.accepted.site if self.accepted else None

    def offer(self, accepted: AcceptedFile, source: str) -> bool:
        """Put `accepted` in force if it is newer; return whether it was."""
        if accepted.revision <= self.revision:
            if accepted.revision < self.revision:
                self.metrics.count("configuration.older_ignored")
            return False
        self.accepted = accepted
        self.metrics.count("configuration.changed")
        log.info("Revision %d in force, from %s.", accepted.revision, source)
        for listener in self.listeners:
            listener(accepted)
        return True
