"""Sends messages about crashes to other boxes, also to those that were away."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet
import msgspec

from cedarchute.address import Address
from cedarchute.crashes.crash_report import CRASHES_PATH, Audience, CrashAnnouncement
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_transport import NoAnswerError

if TYPE_CHECKING:
    from cedarchute.crashes.crash_report import CrashReport
    from cedarchute.crashes.crash_table import CrashTable
    from cedarchute.crashes.told_boxes import ToldBoxes
    from cedarchute.fleet.box_entry import BoxEntry
    from cedarchute.metrics import Metrics
    from cedarchute.turns.holder_transport import HolderTransport

log = logging.getLogger("cedarchute.crashes")

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
OK: Final = 200


class CrashSender:
    """Sends reports from the table, and takes in what other boxes answer.

    Attributes
    ----------
    missed : dict of Address to set of str
        Requests that boxes which did not answer lately are to be told of.
    """

    def __init__(
        self,
        table: CrashTable,
        boxes: ToldBoxes,
        transport: HolderTransport,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.boxes = boxes
        self.transport = transport
        self.metrics = metrics
        self.missed: dict[Address, set[str]] = {}

    def post_to_all(
        self, boxes: list[BoxEntry], reports: tuple[CrashReport, ...]
    ) -> None:
        """Send a message to each box, side by side."""
        tasks = [
            eventlet.spawn(self.post, box, Audience.NOBODY, reports) for box in boxes
        ]
        for task in tasks:
            task.wait()

    def post(
        self, box: BoxEntry, audience: Audience, reports: tuple[CrashReport, ...]
    ) -> bool:
        """Send one message; return whether it was answered.

        Nobody waits for a box that did not answer lately. It is sent messages
        nevertheless: one that stands still reads them once it goes on.
        """
        missed = self.missed.get(Address.parse(box.peers))
        if missed is None:
            return self.exchange(box, audience, reports)
        missed.update(report.request for report in reports)
        eventlet.spawn_n(self.exchange, box, audience, reports)
        return False

    def exchange(
        self, box: BoxEntry, audience: Audience, reports: tuple[CrashReport, ...]
    ) -> bool:
        """Send one message and wait for its answer; return whether it came."""
        message = msgspec.json.encode(CrashAnnouncement(reports, audience))
        timeout = AnswerTimeout(CONNECT_SECONDS, ANSWER_SECONDS[audience])
        self.metrics.count("crashes.messages")
        try:
            address = Address.parse(box.peers)
            answer = self.transport.post(address, CRASHES_PATH, message, timeout)
            if answer.status != OK:
                raise NoAnswerError(f"status {answer.status}")
            known = msgspec.json.decode(answer.body, type=CrashAnnouncement)
        except (NoAnswerError, msgspec.MsgspecError) as error:
            self.metrics.count("crashes.not_told")
            log.info(
                "Box not told of crashes.",
                extra={"box": box.name, "why": str(error), "reports": len(reports)},
            )
            self.note_missed(box, reports)
            return False
        self.table.merge_reports(known.reports)
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
        if box in self.boxes.list_others():
            self.tell_missed(box)
        else:
            self.missed.pop(Address.parse(box.peers), None)

    def tell_missed(self, box: BoxEntry) -> None:
        """Tell a box what it missed, if it missed anything."""
        missed = self.missed.pop(Address.parse(box.peers), set())
        reports = self.table.list_reports(missed)
        if not reports:
            return
        audience = Audience.NOBODY if self.boxes.is_near(box) else Audience.DOMAIN
        self.post(box, audience, reports)
