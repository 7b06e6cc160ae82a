"""The targets that may be used now."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from cedarchute.fleet.lapsing_entries import LapsingEntries

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.routing")

# A write of an earlier start may take effect some seconds after the target started
# again. What still stands there after this long is the target as it is: its clock was
# set back between two starts. Shorter than the time that a leaving target goes on
# serving, so that it gets nothing new then.
HOLD_BACK_SECONDS: Final = 3.0
# Targets whose last start is remembered after their entries are gone.
MOST_REMEMBERED: Final = 4096


class TargetRegistry:
    """Follows the entries of targets; tells `on_gone` of starts that are over.

    Parameters
    ----------
    is_own : callable
        Whether an address is that of a box of ours: a call sent there would go round.
    """

    def __init__(
        self,
        on_gone: Callable[[TargetEntry], None],
        is_own: Callable[[Address], bool] = lambda address: False,
    ) -> None:
        self.on_gone = on_gone
        self.is_own = is_own
        self.known: LapsingEntries[TargetEntry] = LapsingEntries(self.note_gone)
        self.newest_born_ms: OrderedDict[str, int] = OrderedDict()
        self.held_back: dict[str, tuple[TargetEntry, float]] = {}

    def list_ready(self, service: str) -> list[TargetEntry]:
        """Return the targets of `service` that take new work."""
        entries = self.known.entries.values()
        ready = [e for e in entries if e.service == service and e.ready]
        return [entry for entry in ready if not self.is_own(entry.address)]

    def put(self, entry: TargetEntry) -> None:
        """Take in an entry; one of an earlier start is held back.

        A write of an earlier start that comes late would lead every call to a process
        that is gone.
        """
        self.held_back.pop(entry.id, None)
        newest = self.newest_born_ms.get(entry.id, 0)
        if entry.started_at_ms >= newest:
            self.take_in(entry)
            return
        until = time.monotonic() + HOLD_BACK_SECONDS
        self.held_back[entry.id] = (entry, until)
        log.info(
            "Target's entry held back.",
            extra={
                "target": entry.id,
                "born_ms": entry.started_at_ms,
                "newest_born_ms": newest,
            },
        )

    def take_in(self, entry: TargetEntry) -> None:
        """Use an entry from now on."""
        self.remember_born(entry)
        before = self.known.put(entry.id, entry)
        if before is not None and before.incarnation != entry.incarnation:
            log.info(
                "Target started again.",
                extra={"target": entry.id, "born_ms": entry.started_at_ms},
            )
            self.on_gone(before)
        elif before is not None and before.address != entry.address:
            self.on_gone(before)
        elif before is not None and before.ready == entry.ready:
            return
        log.info(
            "Target is ready." if entry.ready else "Target is leaving.",
            extra={"target": entry.id, "service": entry.service},
        )
        if not entry.ready:
            self.on_gone(entry)

    def remember_born(self, entry: TargetEntry) -> None:
        """Remember the start of a target, also beyond the end of its entry."""
        self.newest_born_ms[entry.id] = entry.started_at_ms
        self.newest_born_ms.move_to_end(entry.id)
        if len(self.newest_born_ms) > MOST_REMEMBERED:
            self.newest_born_ms.popitem(last=False)

    def mark_not_ready(self, target: str) -> None:
        """Give a target nothing new: its entry cannot be read."""
        self.held_back.pop(target, None)
        known = self.known.entries.get(target)
        if known is not None and known.ready:
            self.take_in(replace(known, ready=False))

    def remove(self, target: str) -> None:
        """Take in that an entry is gone."""
        self.held_back.pop(target, None)
        if not self.known.remove(target):
            log.info("Target's entry lapsed.", extra={"target": target})

    def expire(self) -> None:
        """Drop entries that did not come back; use those held back for long enough."""
        self.known.expire()
        now = time.monotonic()
        due = [entry for entry, until in self.held_back.values() if until <= now]
        for entry in due:
            del self.held_back[entry.id]
            self.take_in(entry)

    def note_gone(self, entry: TargetEntry) -> None:
        """Log that a target is used no more, and pass it on."""
        log.info("Target is gone.", extra={"target": entry.id})
        self.on_gone(entry)
