"""What the boxes of a failure domain tell each other of targets."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

from cedarchute.placement.failing import is_failing_share
from cedarchute.placement.report_board import (
    MAX_AGE_MS,
    MAX_MERGED,
    MAX_REPORTS,
    ReportBoard,
    is_plausible,
)
from cedarchute.placement.seen_report import SeenReport
from cedarchute.placement.target_belief import TargetBelief

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.placement.target_report import TargetReport

log = logging.getLogger("cedarchute.placement")

# Old reports are looked for this often, which bounds how far they outlive their age.
EXPIRE_MS: Final = 200


def read_clock_ms() -> int:
    """Return the monotonic time in milliseconds."""
    return round(time.monotonic() * 1000)


class DomainKnowledge:
    """Merges reports as a reader, and keeps what the reader of this box merged.

    Attributes
    ----------
    list_reports : callable
        Returns what this box saw of the targets that it used lately.
    told : dict of str to SeenReport
        Merged reports of the other boxes, by incarnation, from the reader.
    failing : frozenset of str
        Targets that the domain last saw fail.
    """

    def __init__(self, box: str) -> None:
        self.box = box
        self.list_reports: Callable[[], tuple[TargetReport, ...]] = tuple
        self.board = ReportBoard()
        self.told: dict[str, SeenReport] = {}
        self.failing: frozenset[str] = frozenset()
        self.expired_at_ms = 0
        self.are_refused = False

    def make_own(self) -> tuple[TargetReport, ...]:
        """Return what this box tells its reader."""
        return self.list_reports()[:MAX_REPORTS]

    def take_box(self, box: str, reports: tuple[TargetReport, ...]) -> None:
        """Take in what a box tells this one as its reader."""
        if self.accept(box, reports, MAX_REPORTS):
            self.board.put(box, reports, read_clock_ms())

    def make_domain(self, box: str) -> tuple[TargetReport, ...]:
        """Return what this box, as its reader, tells `box` of the others."""
        now_ms = read_clock_ms()
        self.expire(now_ms)
        self.board.put(self.box, self.make_own(), now_ms)
        return self.board.merge(now_ms, box)

    def take_domain(self, reports: tuple[TargetReport, ...]) -> None:
        """Take in what the reader of this box told it."""
        if not self.accept("reader", reports, MAX_MERGED):
            return
        now_ms = read_clock_ms()
        self.told = {
            report.incarnation: SeenReport(report, now_ms - report.age_ms)
            for report in reports
        }
        self.note_failing(reports)

    def find(self, incarnation: str) -> TargetBelief | None:
        """Return what other boxes told lately of a target; None if nothing."""
        now_ms = read_clock_ms()
        seen = self.told.get(incarnation)
        if seen is not None and now_ms - seen.seen_at_ms <= MAX_AGE_MS:
            return make_belief(seen.report, now_ms - seen.seen_at_ms)
        if not self.board.totals:
            return None
        self.expire(now_ms)
        report = self.board.find(incarnation, now_ms, self.box)
        return None if report is None else make_belief(report, report.age_ms)

    def expire(self, now_ms: int) -> None:
        """Forget old reports."""
        if now_ms - self.expired_at_ms < EXPIRE_MS:
            return
        self.expired_at_ms = now_ms
        self.board.expire(now_ms)
        if not self.told:
            self.note_failing(self.board.merge(now_ms, self.box))

    def accept(self, box: str, reports: tuple[TargetReport, ...], limit: int) -> bool:
        """Return whether reports can be used; log when that has changed."""
        is_sound = len(reports) <= limit and all(map(is_plausible, reports))
        if not is_sound and not self.are_refused:
            log.warning("Reports of targets ignored.", extra={"box": box})
        self.are_refused = not is_sound
        return is_sound

    def note_failing(self, reports: tuple[TargetReport, ...]) -> None:
        """Log which targets the domain sees fail, or fail no more."""
        failing = frozenset(
            report.incarnation
            for report in reports
            if is_failing_share(report.failure_percent / 100)
        )
        for incarnation in failing - self.failing:
            log.info("Target fails for other boxes.", extra={"target": incarnation})
        for incarnation in self.failing - failing:
            log.info(
                "Target fails for no other box now.", extra={"target": incarnation}
            )
        self.failing = failing


def make_belief(report: TargetReport, age_ms: int) -> TargetBelief:
    """Return a merged report as it is known now."""
    return TargetBelief(
        active=float(report.active),
        mean_seconds=report.mean_ms / 1000 if report.mean_ms else None,
        failure_share=report.failure_percent / 100,
        age_seconds=age_ms / 1000,
    )
