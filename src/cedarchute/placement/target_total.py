"""Sum of what several boxes saw of one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.placement.target_report import TargetReport
from cedarchute.record import MutableRecord

if TYPE_CHECKING:
    from cedarchute.placement.seen_report import SeenReport


class TargetTotal(MutableRecord):
    """Integer sums, so that a report that is taken out again leaves nothing behind.

    Attributes
    ----------
    boxes : int
        Boxes that reported the target.
    timed_boxes : int
        Boxes of these that reported a mean duration.
    seen_at_ms : int
        Sum of the times at which the boxes saw it, in monotonic milliseconds.
    """

    boxes: int = 0
    active: int = 0
    mean_ms: int = 0
    timed_boxes: int = 0
    failure_percent: int = 0
    seen_at_ms: int = 0

    def add(self, seen: SeenReport, sign: int = 1) -> None:
        """Add what one box saw, or take it out with a `sign` of -1."""
        report = seen.report
        self.boxes += sign
        self.active += sign * report.active
        self.mean_ms += sign * report.mean_ms
        self.timed_boxes += sign * bool(report.mean_ms)
        self.failure_percent += sign * report.failure_percent
        self.seen_at_ms += sign * seen.seen_at_ms

    def summarize(
        self, incarnation: str, now_ms: int, without: SeenReport | None = None
    ) -> TargetReport | None:
        """Return the merged report of all boxes but one; None if no other reported."""
        total = self
        if without is not None:
            total = TargetTotal(*(getattr(self, key) for key in self.__struct_fields__))
            total.add(without, -1)
        if not total.boxes:
            return None
        return TargetReport(
            incarnation,
            total.active,
            total.mean_ms // total.timed_boxes if total.timed_boxes else 0,
            total.failure_percent // total.boxes,
            max(0, now_ms - total.seen_at_ms // total.boxes),
        )
