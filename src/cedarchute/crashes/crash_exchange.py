"""Tells the other entry boxes under which requests targets crashed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event

from cedarchute.crashes.batch_sender import MAX_DIGESTS, BatchSender
from cedarchute.crashes.crash_report import Audience, CrashAnnouncement
from cedarchute.decisions.target_run import RunState

if TYPE_CHECKING:
    from cedarchute.crashes.crash_report import CrashReport
    from cedarchute.crashes.crash_sender import CrashSender
    from cedarchute.crashes.crash_table import CrashTable
    from cedarchute.crashes.told_boxes import ToldBoxes
    from cedarchute.crashes.watched_run import WatchedRun
    from cedarchute.metrics import Metrics

# How long a call waits until other boxes know of a crash before it is sent again or
# answered. Some milliseconds are usual; more are lost only to a box that is silent.
MAX_WAIT_SECONDS: Final = 0.25
# Other boxes asked at the start; one of them may be starting too.
BOXES_ASKED: Final = 2
# How long the first calls wait for them; after the loss of all boxes nobody answers.
LEARN_SECONDS: Final = 0.05


class CrashExchange:
    """Spreads counts of crashes over the fleet and keeps those of other boxes.

    A box tells the reader of its failure domain, which tells the readers of the other
    domains and the boxes of its own; each reader tells the boxes of its domain. Nothing
    is sent unless a target crashed while it ran a call.

    Attributes
    ----------
    learnt : Event or None
        Triggered once other boxes were asked after the start; None before that.
    active : set of WatchedRun
        Runs under way, left by their callers, or failed and not settled.
    """

    def __init__(
        self,
        table: CrashTable,
        boxes: ToldBoxes,
        sender: CrashSender,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.boxes = boxes
        self.sender = sender
        self.metrics = metrics
        self.learnt: Event | None = None
        self.active: set[WatchedRun] = set()
        self.batches = {
            Audience.NOBODY: BatchSender(self.tell_reader),
            Audience.DOMAIN: BatchSender(self.tell_domain),
            Audience.FLEET: BatchSender(self.tell_fleet),
        }

    def tell(self, digest: str) -> Event:
        """Tell all boxes the count of a request; return what is triggered then."""
        self.note_running([digest])
        return self.batches[Audience.NOBODY].add([digest])

    def tell_and_wait(self, digest: str) -> None:
        """Tell all boxes the count of a request; wait until they know, for a while."""
        told = self.tell(digest)
        started = time.monotonic()
        with eventlet.Timeout(MAX_WAIT_SECONDS, False):
            told.wait()
        self.metrics.time("crashes.told", time.monotonic() - started)

    def receive(self, announcement: CrashAnnouncement) -> CrashAnnouncement | None:
        """Take in what another box tells, tell others in turn; return what is known.

        A box that starts tells nothing and gets the newest counts. None if this box
        does not know yet whom to tell, so that another one has to.
        """
        self.table.merge_reports(announcement.reports)
        digests = [report.request for report in announcement.reports]
        self.note_running(digests)
        if digests and announcement.audience is not Audience.NOBODY:
            if not self.boxes.is_complete:
                return None
            self.batches[announcement.audience].add(digests).wait()
        if not digests:
            return CrashAnnouncement(self.table.list_newest(MAX_DIGESTS))
        return CrashAnnouncement(self.table.list_reports(digests))

    def note_running(self, digests: list[str]) -> None:
        """Have runs of this box count that are under way, if their requests do."""
        counting = {each for each in digests if self.table.list_suspects(each)}
        if not counting:
            return
        for run in list(self.active):
            if run.digest in counting:
                run.count(RunState.RUNNING)

    def learn_at_start(self) -> None:
        """Ask other boxes once what they know; calls that come meanwhile wait."""
        if self.learnt is not None:
            self.learnt.wait()
            return
        self.learnt = Event()
        nearest = self.boxes.list_nearest(BOXES_ASKED)
        asking = eventlet.spawn(self.sender.post_to_all, nearest, ())
        try:
            with eventlet.Timeout(LEARN_SECONDS, False):
                asking.wait()
        finally:
            self.learnt.send(None)

    def tell_reader(self, digests: list[str]) -> None:
        """Have the reader of this domain tell all boxes; do so itself without one."""
        me = self.boxes.me
        for reader in self.boxes.list_readers(me.failure_domain):
            if reader.name == me.name:
                break
            reports = self.table.list_reports(digests)
            if self.sender.post(reader, Audience.FLEET, reports):
                return
        self.batches[Audience.FLEET].add(digests).wait()

    def tell_fleet(self, digests: list[str]) -> None:
        """Have the readers of other domains tell those; tell the boxes of this one."""
        reports = self.table.list_reports(digests)
        tasks = [
            eventlet.spawn(self.tell_other_domain, domain, reports)
            for domain in self.boxes.list_other_domains()
        ]
        self.tell_domain(digests)
        for task in tasks:
            task.wait()

    def tell_domain(self, digests: list[str]) -> None:
        """Tell the boxes of this domain."""
        members = self.boxes.list_members(self.boxes.me.failure_domain)
        self.sender.post_to_all(members, self.table.list_reports(digests))

    def tell_other_domain(self, domain: str, reports: tuple[CrashReport, ...]) -> None:
        """Have a reader of another domain tell that; tell its boxes without one."""
        for reader in self.boxes.list_readers(domain):
            if self.sender.post(reader, Audience.DOMAIN, reports):
                return
        self.sender.post_to_all(self.boxes.list_members(domain), reports)
