"""A report with the time that it tells of."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.placement.target_report import TargetReport


class SeenReport(Record):
    """A report of one box, dated by the clock of the box that received it.

    Attributes
    ----------
    seen_at_ms : int
        Monotonic time in milliseconds.
    """

    report: TargetReport
    seen_at_ms: int
