"""Group commit of records: one sync for all that wait."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from cedarchute.turns.turn_journal import encode_line

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarchute.metrics import Metrics
    from cedarchute.turns.records import JournalRecord
    from cedarchute.turns.turn_journal import TurnJournal

log = logging.getLogger("cedarchute.turns")


class GroupCommitWriter:
    """Writes records in one task; those that arrive meanwhile share the next sync.

    Attributes
    ----------
    has_failed : bool
        Whether a write failed since the journal was last rewritten, so that records
        that were applied may not be durable.
    """

    def __init__(self, journal: TurnJournal, metrics: Metrics) -> None:
        self.journal = journal
        self.metrics = metrics
        self.lines: list[bytes] = []
        self.done = Event()
        self.writing = False
        self.starts_segment = False
        self.has_failed = False

    def write(self, records: Sequence[JournalRecord]) -> None:
        """Write `records` and wait until durable; raise ``OSError`` on failure.

        All that was written before is durable then as well.
        """
        self.lines.extend(encode_line(record) for record in records)
        if not records:
            self.lines.append(b"")
        self.wait_written()

    def note(self, record: JournalRecord) -> None:
        """Write a record with the next group, without a wait for it.

        One that is lost with the process, or fails, must do no harm.
        """
        self.lines.append(encode_line(record))
        self.start_writing()

    def start_segment(self) -> int:
        """Open a segment for all records from now on, and return its number.

        Raises
        ------
        OSError
            If it cannot be opened.
        """
        self.starts_segment = True
        return self.wait_written()

    def wait_written(self) -> int:
        """Wait until all that is pending is durable; return its segment."""
        done = self.done
        self.start_writing()
        return done.wait()

    def start_writing(self) -> None:
        """Start the task that writes, unless it runs."""
        if not self.writing:
            self.writing = True
            eventlet.spawn_n(self.write_pending)

    def write_pending(self) -> None:
        """Write groups until no lines are pending."""
        while self.lines or self.starts_segment:
            lines, self.lines = self.lines, []
            starts_segment, self.starts_segment = self.starts_segment, False
            done, self.done = self.done, Event()
            try:
                segment = self.journal.append(lines, starts_segment)
            except OSError as error:
                self.has_failed = True
                self.metrics.count("journal.failures")
                log.error(
                    "Failed to write records to the journal.", extra={"why": str(error)}
                )
                done.send_exception(error)
                continue
            self.metrics.count("journal.syncs")
            done.send(segment)
        self.writing = False
