"""Merges what the boxes of a failure domain report of targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.placement.seen_report import SeenReport
from cedarchute.placement.target_total import TargetTotal

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarchute.placement.target_report import TargetReport

# Boxes report each 1.2 seconds; one report may be lost before what a box told ends.
MAX_AGE_MS: Final = 2000
# Calls of a box that are under way at once rarely use more targets.
MAX_REPORTS: Final = 16
# More than the targets of a deployment that are busy at once.
MAX_MERGED: Final = 64
# Several times the boxes that one reader serves.
MAX_BOXES: Final = 1024

MAX_INCARNATION_LENGTH: Final = 128
MAX_ACTIVE: Final = 10_000
MAX_MEAN_MS: Final = 3_600_000


def is_plausible(report: TargetReport) -> bool:
    """Return whether a box of this release could have sent a report."""
    return (
        len(report.incarnation) <= MAX_INCARNATION_LENGTH
        and 0 <= report.active <= MAX_ACTIVE
        and 0 <= report.mean_ms <= MAX_MEAN_MS
        and 0 <= report.failure_percent <= 100
        and report.age_ms >= 0
    )


class ReportBoard:
    """Keeps the newest reports of each box, and their sums by target.

    The caller gives the time, in monotonic milliseconds.
    """

    def __init__(self) -> None:
        self.by_box: dict[str, dict[str, SeenReport]] = {}
        self.totals: dict[str, TargetTotal] = {}

    def put(self, box: str, reports: Sequence[TargetReport], now_ms: int) -> None:
        """Replace the reports of a box."""
        self.drop(box)
        if len(self.by_box) >= MAX_BOXES:
            return
        kept = {
            report.incarnation: SeenReport(report, now_ms - report.age_ms)
            for report in reports[:MAX_REPORTS]
            if report.age_ms <= MAX_AGE_MS
        }
        if not kept:
            return
        self.by_box[box] = kept
        for incarnation, seen in kept.items():
            self.totals.setdefault(incarnation, TargetTotal()).add(seen)

    def drop(self, box: str) -> None:
        """Forget the reports of a box."""
        for incarnation, seen in self.by_box.pop(box, {}).items():
            self.subtract(incarnation, seen)

    def expire(self, now_ms: int) -> None:
        """Forget old reports."""
        for box, reports in list(self.by_box.items()):
            for incarnation, seen in list(reports.items()):
                if now_ms - seen.seen_at_ms > MAX_AGE_MS:
                    del reports[incarnation]
                    self.subtract(incarnation, seen)
            if not reports:
                del self.by_box[box]

    def subtract(self, incarnation: str, seen: SeenReport) -> None:
        """Take a report out of the sum of its target."""
        total = self.totals[incarnation]
        total.add(seen, -1)
        if not total.boxes:
            del self.totals[incarnation]

    def find(self, incarnation: str, now_ms: int, box: str = "") -> TargetReport | None:
        """Return the merged report of a target by all boxes but `box`."""
        total = self.totals.get(incarnation)
        if total is None:
            return None
        own = self.by_box.get(box, {}).get(incarnation)
        return total.summarize(incarnation, now_ms, own)

    def merge(self, now_ms: int, box: str = "") -> tuple[TargetReport, ...]:
        """Return the merged reports by all boxes but `box`, the busiest targets first.

        A box adds its own calls itself: they must not count twice.
        """
        found = (self.find(incarnation, now_ms, box) for incarnation in self.totals)
        reports = [report for report in found if report is not None]
        if len(reports) > MAX_MERGED:
            reports.sort(key=lambda report: (-report.active, report.age_ms))
        return tuple(reports[:MAX_MERGED])
