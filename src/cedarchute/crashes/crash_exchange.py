"""Tells the other entry boxes under which requests targets crashed."""

from __future__ import annotations

import logging
import time
from collections import defaultdict
from typing import TYPE_CHECKING, Final

import eventlet
import msgspec
from eventlet.event import Event

from cedarchute.address import Address
from cedarchute.crashes.batch_sender import MAX_DIGESTS, BatchSender
from cedarchute.crashes.crash_report import (
    CRASHES_PATH,
    Audience,
    CrashAnnouncement,
    CrashReport,
)
from cedarchute.fleet.box_entry import Role
from cedarchute.fleet.reader_choice import READERS_PER_DOMAIN
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_transport import NoAnswerError

if TYPE_CHECKING:
    from cedarchute.crashes.crash_table import CrashTable
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.box_entry import BoxEntry
    from cedarchute.metrics import Metrics
    from cedarchute.turns.holder_transport import HolderTransport

log = logging.getLogger("cedarchute.crashes")

# How long a call waits until other boxes know of a crash before it is sent again or
# answered. Some milliseconds are usual; more are lost only to a box that is silent.
MAX_WAIT_SECONDS: Final = 0.25
# Time limits of a message, the longer the more boxes its receiver tells first.
ANSWER_SECONDS: Final = {
    Audience.NOBODY: 0.1,
    Audience.DOMAIN: 0.2,
    Audience.FLEET: 0.25,
}
CONNECT_SECONDS: Final = 0.05
# A box that did not answer is told again after this: meanwhile each message that waits
# for it would delay the next one.
SILENCE_SECONDS: Final = 1.0
# Other boxes asked at the start; one of them may be starting too.
BOXES_ASKED: Final = 2
OK: Final = 200


class CrashExchange:
    """Spreads counts of crashes over the fleet and keeps those of other boxes.

    A box tells the reader of its failure domain, which tells the readers of the other
    domains and the boxes of its own; each reader tells the boxes of its domain. Nothing
    is sent unless a target crashed while it ran a call.

    Attributes
    ----------
    missed : dict of Address to set of str
        Requests that boxes which did not answer lately are to be told of.
    learnt : Event or None
        Triggered once other boxes were asked after the start; None before that.
    """

    def __init__(
        self,
        table: CrashTable,
        directory: BoxDirectory,
        me: BoxEntry,
        transport: HolderTransport,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.directory = directory
        self.me = me
        self.transport = transport
        self.metrics = metrics
        self.missed: dict[Address, set[str]] = {}
        self.learnt: Event | None = None
        self.senders = {
            Audience.NOBODY: BatchSender(self.tell_reader),
            Audience.DOMAIN: BatchSender(self.tell_domain),
            Audience.FLEET: BatchSender(self.tell_fleet),
        }

    def tell(self, digest: str) -> Event:
        """Tell all boxes the count of a request; return what is triggered then."""
        return self.senders[Audience.NOBODY].add([digest])

    def tell_and_wait(self, digest: str) -> None:
        """Tell all boxes the count of a request; wait until they know, for a while."""
        told = self.tell(digest)
        started = time.monotonic()
        with eventlet.Timeout(MAX_WAIT_SECONDS, False):
            told.wait()
        self.metrics.time("crashes.told", time.monotonic() - started)

    def receive(self, announcement: CrashAnnouncement) -> CrashAnnouncement:
        """Take in what another box tells, tell others in turn; return what is known."""
        for report in self.table.merge_reports(announcement.reports):
            log_report(report)
        digests = [report.request for report in announcement.reports]
        if digests and announcement.audience is not Audience.NOBODY:
            self.senders[announcement.audience].add(digests).wait()
        return CrashAnnouncement(self.table.list_newest(MAX_DIGESTS))

    def learn_at_start(self) -> None:
        """Ask other boxes once what they know; calls that come meanwhile wait."""
        if self.learnt is not None:
            self.learnt.wait()
            return
        self.learnt = Event()
        others = [box for box in self.list_entries() if box.name != self.me.name]
        near = [b for b in others if b.failure_domain == self.me.failure_domain]
        asked = [*near, *(box for box in others if box not in near)][:BOXES_ASKED]
        try:
            self.post_to_all([(box, Audience.NOBODY) for box in asked], ())
        finally:
            self.learnt.send(None)

    def list_entries(self) -> list[BoxEntry]:
        """Return the entry boxes by name, so that all boxes agree on readers."""
        return sorted(self.directory.list_boxes(Role.ENTRY), key=lambda box: box.name)

    def group_by_domain(self) -> dict[str, list[BoxEntry]]:
        """Return the entry boxes of each failure domain."""
        domains: defaultdict[str, list[BoxEntry]] = defaultdict(list)
        for box in self.list_entries():
            domains[box.failure_domain].append(box)
        return domains

    def tell_reader(self, digests: list[str]) -> None:
        """Have the reader of this domain tell all boxes; do so itself without one."""
        boxes = self.group_by_domain()[self.me.failure_domain]
        for reader in boxes[:READERS_PER_DOMAIN]:
            if reader.name == self.me.name:
                break
            if self.post(reader, Audience.FLEET, self.table.list_reports(digests)):
                return
        self.senders[Audience.FLEET].add(digests).wait()

    def tell_fleet(self, digests: list[str]) -> None:
        """Tell the readers of other domains and the boxes of this one."""
        domains = self.group_by_domain()
        own = domains.pop(self.me.failure_domain, [])
        reports = self.table.list_reports(digests)
        tasks = [
            eventlet.spawn(self.post_to_first, boxes[:READERS_PER_DOMAIN], reports)
            for boxes in domains.values()
        ]
        self.post_to_members(own, reports)
        for task in tasks:
            task.wait()

    def tell_domain(self, digests: list[str]) -> None:
        """Tell the boxes of this domain."""
        own = self.group_by_domain()[self.me.failure_domain]
        self.post_to_members(own, self.table.list_reports(digests))

    def post_to_members(
        self, boxes: list[BoxEntry], reports: tuple[CrashReport, ...]
    ) -> None:
        """Tell boxes of this domain, side by side."""
        members = [(b, Audience.NOBODY) for b in boxes if b.name != self.me.name]
        self.post_to_all(members, reports)

    def post_to_all(
        self,
        boxes: list[tuple[BoxEntry, Audience]],
        reports: tuple[CrashReport, ...],
    ) -> None:
        """Send a message to each box, side by side."""
        tasks = [
            eventlet.spawn(self.post, box, audience, reports) for box, audience in boxes
        ]
        for task in tasks:
            task.wait()

    def post_to_first(
        self, readers: list[BoxEntry], reports: tuple[CrashReport, ...]
    ) -> None:
        """Have the first reader that answers tell its domain."""
        for reader in readers:
            if self.post(reader, Audience.DOMAIN, reports):
                return

    def post(
        self, box: BoxEntry, audience: Audience, reports: tuple[CrashReport, ...]
    ) -> bool:
        """Send one message; return whether it was answered.

        Nobody waits for a box that did not answer lately. It is sent messages
        nevertheless: one that stands still reads them once it goes on.
        """
        missed = self.missed.get(Address.parse(box.peers))
        if missed is None:
            return self.send(box, audience, reports)
        missed.update(report.request for report in reports)
        eventlet.spawn_n(self.send, box, audience, reports)
        return False

    def send(
        self, box: BoxEntry, audience: Audience, reports: tuple[CrashReport, ...]
    ) -> bool:
        """Send one message and wait for its answer; return whether it came."""
        address = Address.parse(box.peers)
        message = msgspec.json.encode(CrashAnnouncement(reports, audience))
        timeout = AnswerTimeout(CONNECT_SECONDS, ANSWER_SECONDS[audience])
        self.metrics.count("crashes.messages")
        try:
            answer = self.transport.post(address, CRASHES_PATH, message, timeout)
            if answer.status != OK:
                raise NoAnswerError(f"status {answer.status}")
            known = msgspec.json.decode(answer.body, type=CrashAnnouncement)
        except (NoAnswerError, msgspec.MsgspecError) as error:
            self.metrics.count("crashes.not_told")
            self.note_missed(box, reports)
            log.info(
                "Box not told of crashes.",
                extra={"box": box.name, "why": str(error), "reports": len(reports)},
            )
            return False
        for report in self.table.merge_reports(known.reports):
            log_report(report)
        self.tell_missed(box)
        return True

    def note_missed(self, box: BoxEntry, reports: tuple[CrashReport, ...]) -> None:
        """Have a box that did not answer told later."""
        address = Address.parse(box.peers)
        digests = {report.request for report in reports}
        if address in self.missed:
            self.missed[address] |= digests
            return
        self.missed[address] = digests
        eventlet.spawn_n(self.tell_later, box)

    def tell_later(self, box: BoxEntry) -> None:
        """Tell a box what it missed after a while, if it has not answered before."""
        eventlet.sleep(SILENCE_SECONDS)
        if box in self.list_entries():
            self.tell_missed(box)
        else:
            self.missed.pop(Address.parse(box.peers), None)

    def tell_missed(self, box: BoxEntry) -> None:
        """Tell a box what it missed, if it missed anything."""
        missed = self.missed.pop(Address.parse(box.peers), set())
        reports = self.table.list_reports(missed)
        if not reports:
            return
        is_near = box.failure_domain == self.me.failure_domain
        self.post(box, Audience.NOBODY if is_near else Audience.DOMAIN, reports)


def log_report(report: CrashReport) -> None:
    """Log a count that another box told."""
    log.info(
        "Told of crashes under a request.",
        extra={
            "request": report.request,
            "crashes": report.crashes,
            "clearances": report.clearances,
            "age_ms": report.age_ms,
        },
    )
