"""The registry of targets that can be used."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Final

from msgspec.structs import replace

from cedarchute.fleet.lapsing_entries import LapsingEntries

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.routing")

# A write of an earlier incarnation may take effect seconds after a restart. An entry
# that is still there after this time is valid: the target's clock was set back.
DEFERRAL_SECONDS: Final = 3.0
# Targets whose last start time is remembered after their entries are gone.
MAX_REMEMBERED: Final = 4096


class TargetRegistry:
    """Tracks the entries of targets; calls `on_gone` for incarnations that are gone.

    Parameters
    ----------
    is_box_address : callable
        Whether an address is that of one of our boxes; a call sent there would loop.

    Attributes
    ----------
    describe_calls : callable
        Returns the log fields of the calls at a target that leaves.
    """

    def __init__(
        self,
        on_gone: Callable[[TargetEntry], None],
        is_box_address: Callable[[Address], bool] = lambda address: False,
    ) -> None:
        self.on_gone = on_gone
        self.is_box_address = is_box_address
        self.describe_calls: Callable[[TargetEntry], dict[str, Any]] = lambda entry: {}
        self.known: LapsingEntries[TargetEntry] = LapsingEntries(self.handle_gone)
        self.newest_start_ms: OrderedDict[str, int] = OrderedDict()
        self.deferred: dict[str, tuple[TargetEntry, float]] = {}

    def list_ready(self, service: str) -> list[TargetEntry]:
        """Return the targets of `service` that accept new calls.

        Where the entries of a few lapsed, these have most likely left and are left out.
        Where most did, the outage took them and their targets are there.
        """
        entries = self.known.entries.values()
        ready = [e for e in entries if e.service == service and e.ready]
        ready = [entry for entry in ready if not self.is_box_address(entry.address)]
        registered = [e for e in ready if not self.known.is_lapsed(e.id)]
        return registered if 2 * len(registered) >= len(ready) else ready

    def find_incarnation(self, incarnation: str) -> TargetEntry | None:
        """Return the entry of an incarnation, None if it is gone."""
        for target in (incarnation, incarnation.rpartition("@")[0]):
            entry = self.known.entries.get(target)
            if entry is not None and entry.incarnation == incarnation:
                return entry
        return None

    def accepts_calls(self, target: TargetEntry) -> bool:
        """Return whether a target that was chosen earlier still takes new calls."""
        known = self.known.entries.get(target.id)
        return (
            known is not None
            and known.ready
            and known.incarnation == target.incarnation
            and known.address == target.address
        )

    def put(self, entry: TargetEntry) -> None:
        """Apply an entry; defer one of an earlier incarnation.

        A late write of an earlier incarnation would route calls to a process that is
        gone. That the target is leaving is not deferred, whichever incarnation says so.
        """
        self.deferred.pop(entry.id, None)
        newest = self.newest_start_ms.get(entry.id, 0)
        if entry.started_at_ms >= newest:
            self.apply(entry)
            return
        if not entry.ready:
            self.mark_not_ready(entry.id)
        until = time.monotonic() + DEFERRAL_SECONDS
        self.deferred[entry.id] = (entry, until)
        log.info(
            "Target's entry deferred.",
            extra={
                "target": entry.id,
                "born_ms": entry.started_at_ms,
                "newest_born_ms": newest,
            },
        )

    def apply(self, entry: TargetEntry) -> None:
        """Put an entry into use and log what changed."""
        self.record_start(entry)
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
        described = {"target": entry.id, "service": entry.service}
        if entry.ready:
            log.info("Target is ready.", extra=described)
            return
        log.info(
            "Target is leaving.", extra={**described, **self.describe_calls(entry)}
        )
        self.on_gone(entry)

    def record_start(self, entry: TargetEntry) -> None:
        """Record the start time of a target, which is kept after its entry is gone."""
        self.newest_start_ms[entry.id] = entry.started_at_ms
        self.newest_start_ms.move_to_end(entry.id)
        if len(self.newest_start_ms) > MAX_REMEMBERED:
            self.newest_start_ms.popitem(last=False)

    def mark_not_ready(self, target: str) -> None:
        """Mark a target as not ready; its entry does not say what else changed."""
        self.deferred.pop(target, None)
        known = self.known.entries.get(target)
        if known is not None and known.ready:
            self.apply(replace(known, ready=False))

    def remove(self, target: str) -> None:
        """Record that an entry was removed."""
        self.deferred.pop(target, None)
        if not self.known.remove(target):
            log.info("Target's entry lapsed.", extra={"target": target})

    def expire(self) -> None:
        """Remove entries that have expired, and apply deferred ones that are due."""
        self.known.expire()
        now = time.monotonic()
        due = [entry for entry, until in self.deferred.values() if until <= now]
        for entry in due:
            del self.deferred[entry.id]
            self.apply(entry)

    def handle_gone(self, entry: TargetEntry) -> None:
        """Log that a target is gone and call `on_gone`."""
        log.info(
            "Target is gone.",
            extra={"target": entry.id, **self.describe_calls(entry)},
        )
        self.on_gone(entry)
