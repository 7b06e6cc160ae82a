"""Makes records durable in groups: one sync for all that wait."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from cedarchute.turns.turn_journal import encode_line

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.turns.records import Record
    from cedarchute.turns.turn_journal import TurnJournal

log = logging.getLogger("cedarchute.turns")


class GroupCommitWriter:
    """One task writes; what comes meanwhile goes with the next sync."""

    def __init__(self, journal: TurnJournal, metrics: Metrics) -> None:
        self.journal = journal
        self.metrics = metrics
        self.lines: list[bytes] = []
        self.done = Event()
        self.writing = False

    def write(self, records: list[Record]) -> None:
        """Return once `records` are on the disk; raise ``OSError`` if they are not."""
        self.lines.extend(encode_line(record) for record in records)
        done = self.done
        if not self.writing:
            self.writing = True
            eventlet.spawn_n(self.write_waiting)
        done.wait()

    def write_waiting(self) -> None:
        """Write groups until nothing waits."""
        while self.lines:
            lines, self.lines = self.lines, []
            done, self.done = self.done, Event()
            try:
                self.journal.append(lines)
            except OSError as error:
                self.metrics.count("journal.failures")
                log.error("Records not written.", extra={"why": str(error)})
                done.send_exception(error)
                continue
            self.metrics.count("journal.syncs")
            done.send(None)
        self.writing = False
